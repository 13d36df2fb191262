// Package slot keeps exclusive ownership of slots. Ownership is a lease: a
// record in the platform's store with a term that grows with each owner,
// renewed by compare-and-swap. See the design page, 5.1, for the rules and why
// they are safe.
//
// An owner has authority to act until its lease ends. Without a renewal, for
// example in a store outage, it keeps that authority as long as it has unbroken
// evidence that more than half of the entry hosts are alive, and none of them
// knows of a ClaimIntent for the slot that is newer than the owner's last
// renewal. A claimant must have such an intent acknowledged by more than half
// of the hosts before it starts to wait for the lease to end. Two majorities
// share a host (quorum intersection), so one of the hosts that the owner hears
// from knows of the intent. Heartbeats carry all known intents beside the ages
// of hosts, so an age never arrives without the intents that its host knew.
//
// A record from before the store last came back from an older copy proves nothing about
// the owner, and neither does a missing one (restore.go).
//
// A planned change of owner is a two-phase handover: the owner freezes the slot
// and offers its state (HandoverOffer), swaps the record once the successor has
// acknowledged it, and then commits (HandoverCommit). Hosts are ranked as
// owners by failure domain, number of slots and rendezvous hash.
//
// Limits: host lists of owner and claimant must differ by less than half of the
// fleet.
package slot
