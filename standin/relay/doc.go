// Package relay is a TCP relay that makes a link bad: it drops the bytes of one
// direction, delays them, stalls a share of them as a retransmission does, or
// cuts connections. Rules choose the links by the address they come from and
// the one they go to, so that one relay imitates a partition between any two
// hosts whose addresses differ.
package relay
