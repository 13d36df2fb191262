// Package treefile encodes and decodes tree files, the text form of
// configuration trees that operators edit.
//
// A tree file is TOML. Settings of the root branch come first. Every other
// branch is a table whose name is the quoted path:
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
// Two top-level keys are metadata and not settings: base_version is the version
// of the tree that the file was written from, and subtree is the path of the
// branch that the file is limited to. Decoding and encoding a file again loses
// its comments and the order of its branches.
package treefile
