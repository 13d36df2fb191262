// Package peer carries messages between entry hosts by net/rpc with CBOR encoding
// over TCP connections with mutual TLS. A host opens a connection to a peer when it
// has a message for it and closes it when it is idle; the responses to the calls
// serve only as acknowledgements.
//
// Delivery is at most once: messages may be lost, but none is delivered later
// than maxTransitTime after the call of Send, whatever was paused or stalled in
// between. Heartbeats carry ages, and a late heartbeat would make old information
// look new. For this purpose a link begins with a Hello, which starts an epoch.
// The receiver records the time of its response; each envelope states how long
// after the arrival of that response it was sent. From both the receiver
// computes an upper bound on the message's age by its own clock.
package peer
