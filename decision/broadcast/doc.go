// Package broadcast spreads health signals from one host to all others in batches. In
// its own failure domain a host passes batches on to a few neighbors, which do the same;
// in each other domain, a few relays get the host's own batches. Few copies cross the
// costly links between domains, and the messages of a host do not grow with the fleet.
//
// Delivery is best effort: lost messages are not sent again. Receivers detect
// duplicates by a batch's origin and sequence number.
package broadcast
