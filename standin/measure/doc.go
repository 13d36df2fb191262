// Package measure compares the policies of the decision module with simpler
// baselines in a discrete-event simulation: every variant gets the same load,
// the same simulated backend servers and the same seed, in virtual time. Each
// experiment drives the real reducers of 40 hosts over links that delay and
// lose messages.
//
// The simulation leaves out sockets and the processing time of a host, garbage
// collection, callers that retry, and servers whose speed depends on the kind
// of request.
package measure
