// Package treefile is the codec between tree files and configuration trees.
//
// A tree file is TOML. Settings of the root come first; every other branch is
// a table named by its quoted path:
//
//	domains = ["north", "south"]
//
//	["accounts/institutes"]
//	rate = "20/s"
//	burst = 40
//
//	["accounts/institutes/ntnu"]
//	keys = ["sha256:..."]
//
// Two more keys at the top are not settings: base_version is the version that
// the file was made from, and subtree names the only branch that the file
// covers. Comments and the order of branches do not survive a round trip.
package treefile
