// Package wire holds what the HTTP/1.1 messages of callers and of backend
// servers have in common: the names of the fleet's header fields, their
// values, the fields that belong to one connection only, and a check that a
// message has one unambiguous length. It does no I/O.
package wire
