// Package broadcast spreads a message from one host to all others over two
// levels: to each host of the sender's failure domain, and in each other domain to
// a few hosts that pass it on there. Few copies cross the costly links between
// domains, and a message reaches everyone within two hops.
//
// Messages may be lost; nothing repeats them. Receivers take each message once,
// by its origin and sequence.
package broadcast
