// Package broadcast sends a message from one host to all others in two hops: to
// each host of the sender's failure domain and, in each other domain, to a few
// relays that forward it to the other hosts there. Few copies cross the costly
// links between domains.
//
// Delivery is best effort: lost messages are not sent again. Receivers detect
// duplicates by a message's origin and sequence number.
package broadcast
