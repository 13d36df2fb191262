// Package membership keeps the platform's list of entry hosts and the evidence
// that hosts were heard and that the store was reached. From these it derives
// whether this host may serve: see Authority.
//
// Evidence is never counted as younger than it is. A host asks random peers
// with a heartbeat; the answer echoes the sequence, so everything in it is at
// least as old as the ages that it names, and at most older by the time since
// the asking heartbeat was sent. A message that is delayed, or that waits while
// the process is paused, therefore grows old with its delay.
//
// Limits: ages of at most message.MaxHostAges hosts travel in one heartbeat.
package membership
