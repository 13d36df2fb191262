// Package wire defines what the HTTP/1.1 messages of callers and of backend
// servers have in common: the names and values of the fleet's header fields, the
// hop-by-hop fields, and a strict check of message heads and chunked bodies, against
// malformed messages and against request smuggling by an ambiguous message length. It
// does no I/O, but for ChunkedReader, which reads from its source.
package wire
