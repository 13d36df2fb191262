// Package membership is the failure detector of the entry hosts. It keeps the
// platform's list of entry hosts and the evidence of when each host was last
// alive and when the store was last reached. From these it derives whether this
// host may serve: see Authority.
//
// Evidence is spread by pull gossip. A host sends heartbeats to its peers in
// rounds, each in a random order; the answer echoes the sequence number and
// carries everything that the peer knows. Evidence is never counted as younger
// than it is: the ages in an answer are subtracted from the time at which the
// heartbeat that it echoes was sent. It counts as older than it is by at most the
// time since that heartbeat. An answer that is delayed, or that waits while the
// process is paused, therefore ages with its delay.
//
// Limits: ages of at most message.MaxHostAges hosts travel in one heartbeat.
package membership
