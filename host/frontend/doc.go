// Package frontend is the HTTP/1.1 server for callers. It parses requests,
// removes the client account key from them, posts them as events to the control
// loop and executes the resulting effects, each in the goroutine of its
// request. It makes no decisions.
//
// Limitations:
//   - HTTP/1.1 without TLS. Request bodies are buffered in memory, up to a
//     limit for each and one for all that the reducer grants.
//   - A request is refused if its method, path, Host, Idempotency-Key or body
//     contains its own key, because it cannot be forwarded without revealing
//     the key to a backend server. A key in the body is detected only if it is
//     plain or percent-encoded.
//   - A request that a caller sends on an idle connection while Shutdown closes
//     it is lost unread, because HTTP/1.1 has no way to refuse it.
package frontend
