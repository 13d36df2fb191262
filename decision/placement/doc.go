// Package placement chooses a backend server for each request at one host. It
// covers the host's subset of a service's servers (rendezvous hashing), the
// power of two choices by load, the slow start of cold servers, a Bayesian
// estimate of which servers are failing, the bulkhead, the fair queue behind it
// and the retry budget.
//
// A Pool holds what a host knows of one service; a Roster holds what it knows
// of servers by address, whatever service they belong to. The package does not
// decide which servers are ejected, in trial or avoided: callers tell it.
package placement
