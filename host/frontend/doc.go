// Package frontend serves callers over HTTP/1.1. It reads requests, takes the
// client account key out of them, posts them as events to the control loop and
// carries out the effects that come back, each in the goroutine of its
// request. It takes no decision.
//
// Limits: HTTP/1.1 without TLS; request bodies are held in memory up to a
// limit. A request whose path or body contains its own key is refused, because
// it cannot be passed on without showing the key to a backend server. A key in
// the body is found only where it is plain or percent-encoded. A request that
// a caller sends on an idle connection while Shutdown closes it is lost
// unread, as HTTP/1.1 has no way to refuse it.
package frontend
