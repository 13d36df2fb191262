// Package decision is the reducer of an entry host, a deterministic state
// machine: Reduce takes the state and one event, changes the state and returns
// the effects for the caller to carry out. It uses no clock, unseeded
// randomness, I/O, lock, channel or goroutine; TestDecisionsArePure checks
// that. Each concern has a sub-package with a state of its own.
package decision
