// Package store connects a host to the platform's key-value store. Store is the
// interface to it, HTTP the adapter for the platform's HTTP protocol, Records the
// typed access to the fleet's records, and EffectRunner carries out the
// reducer's store effects. Another protocol of a platform needs only another
// implementation of Store.
package store
