// Package fleettest is a discrete-event simulation of a fleet: it runs several
// reducers in virtual time, connected by links that lose, delay, duplicate and
// reorder messages, with a model of the store's slot records. It serves only
// the tests of package decision. It models no callers, servers or configuration
// beyond what a test injects.
package fleettest
