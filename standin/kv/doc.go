// Package kv is the stand-in for the platform's store: a key-value service with
// compare-and-swap, watches and leases, and the list of hosts, over HTTP.
//
// The platform's public protocol is under /v1; host/store describes it. Tests
// change the host list with PUT and DELETE on /v1/hosts/<id>, and control the
// stand-in under /standin: PUT /standin/faults takes a Faults in JSON, POST
// /standin/lapse/<name> expires a lease, GET /standin/calls returns the Calls.
// All state is in memory.
package kv
