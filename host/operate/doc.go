// Package operate implements the operations of pollenctl: reading and editing
// the configuration tree in the store, listing its history, granting and
// withdrawing API keys, and querying hosts for their status. Merging and
// validation are in decision/configuration.
//
// The tree is stored as content-addressed shards that are listed in one root
// record. An edit commits with a single compare-and-swap of the record "root"
// (optimistic concurrency control). Each root carries a unique write id, so
// that a writer that got no response can read back whether its write took
// effect. Before the swap, the root that is about to be replaced is copied to
// history/<version>. Old shards and roots are never deleted.
package operate
