// Package operate is the work of pollenctl: it reads and edits the operators'
// tree in the store, keeps its history, grants and withdraws keys, and asks
// hosts for their status. What an edit means (merge, validation) is decided in
// decision/configuration.
//
// Every change of the tree is one compare-and-swap of the record "root" and
// carries a write id, by which a write whose answer was lost is recognised.
// Before the swap the root that it replaces is copied to history/<version>.
// Old shards and roots are never deleted.
package operate
