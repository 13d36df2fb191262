// Package fleettest runs several reducers in virtual time, joined by lines that
// lose, delay, repeat and reorder messages, with a model of the store's slot
// records. It is for tests of the package decision only. It models no caller,
// server or configuration beyond what a test injects.
package fleettest
