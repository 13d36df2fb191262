// Package backend makes attempts at backend servers: HTTP/1.1 over TCP
// connections that it owns, one request at a time on each. It tells of every
// attempt whether the request may have run. It takes no decision: it does not
// choose servers and does not try again on another one.
//
// The HTTP client of the fasthttp package is not used, because it sends
// requests again by itself and hides whether any byte was written. Only its
// codec is.
//
// Limits: an answer must tell its length (Content-Length or chunked); one that
// ends with its connection cannot be told from a truncated one and counts as a
// bad answer.
package backend
