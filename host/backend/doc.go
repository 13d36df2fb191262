// Package backend sends requests to backend servers over pooled HTTP/1.1
// connections, without pipelining. For each attempt it reports whether the
// server may have run the request. It makes no decisions: it neither chooses
// servers nor retries on another one.
//
// It uses the codec of the fasthttp package but not its HTTP client, because
// the client retries requests on its own and hides whether any byte was
// written.
//
// Limitation: a response must be framed by Content-Length or by chunked
// encoding. A response that is delimited by the close of its connection is
// rejected as invalid, because it cannot be told from a truncated one.
package backend
