// Package peer carries messages between entry hosts with net/rpc over
// persistent TCP connections, under mutual TLS. Each host opens one connection
// to each peer that it sends to; the calls' answers serve as acknowledgements
// only.
//
// Messages may be lost, but none is handed on later than maxTransit after Send
// was called, whatever was paused or stalled on the way: heartbeats carry
// ages, and a late one would make old knowledge look new. For this a link
// begins with a Hello. The receiver notes when it answered; each envelope
// tells how long after the arrival of that answer it was sent, which gives the
// receiver a latest age by its own clock.
package peer
