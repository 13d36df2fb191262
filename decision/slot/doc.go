// Package slot keeps exclusive ownership of slots. Ownership is a record in the
// platform's store, renewed by compare-and-swap; see the design page, 5.1, for
// the rules and why they are safe.
//
// An owner may act until its lease ends, or longer while it keeps hearing more
// than half of the entry hosts without a gap and none of them knows of a
// ClaimIntent for the slot that is newer than the owner's last renewal. A
// claimant must have such an intent acknowledged by more than half of the hosts
// before its wait begins, so one of the hosts that the owner hears knows of it.
// Intents travel in every heartbeat beside the ages, so an age never arrives
// without the intents that its host knew.
//
// Limits: host lists of owner and claimant must differ by less than half of the
// fleet.
package slot
