// Package measure compares the policies of the decision module with plain
// variants: the same load, the same fake backend servers, the same seed, in
// virtual time. Each experiment drives the real reducers of 40 hosts over
// lines that delay and lose messages.
//
// What the fakes leave out: sockets and the time that a host itself takes,
// garbage collection, callers that retry, and servers whose speed depends on
// the kind of request.
package measure
