// Package placement chooses backend servers for requests at one host: the
// host's subset of a service's servers, two random choices by load, the ramp of
// cold servers, the bulkhead, the fair queue behind it and the retry budget.
//
// A Pool is what a host uses of one service; a Roster is what it knows of
// servers by address, whatever service they belong to. The package decides
// nothing about health: it is told which servers are ejected, in trial or
// avoided.
package placement
