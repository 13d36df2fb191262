// Package relay is a TCP proxy that injects network faults: it drops the bytes
// of one direction, delays them, stalls a share of them as a retransmission
// does, or cuts connections. Rules select connections by source and destination
// address, so that one relay can simulate a partition between any two hosts
// whose addresses differ.
package relay
