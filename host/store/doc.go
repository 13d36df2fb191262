// Package store connects a host with the platform's key-value service. Store is
// the narrow interface to it, HTTP the adapter for the platform's protocol,
// Records the typed view of what the fleet keeps there, and Caller carries out
// the reducer's store effects. Another front end to the platform is one file
// that implements Store.
package store
