// Package wire defines what the HTTP/1.1 messages of callers and of backend
// servers have in common: the names and values of the fleet's header fields, the
// hop-by-hop fields, and a check against request smuggling by an ambiguous
// message length. It does no I/O.
package wire
