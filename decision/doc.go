// Package decision is the reducer of an entry host: Reduce takes the state and
// one event, changes the state and returns the effects to carry out. It has no
// clock, randomness, socket, lock, channel or goroutine; shape_test.go
// enforces that. Each concern has a sub-package with a state of its own.
package decision
