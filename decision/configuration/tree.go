package configuration

import "strings"

// Path names a branch: elements joined by "/". The empty path is the root of
// the tree. The first element is "accounts", "routes" or "services".
type Path string

// Parent returns the path of the branch that p inherits from. The root is its
// own parent.
func (p Path) Parent() Path {
	i := strings.LastIndexByte(string(p), '/')
	if i < 0 {
		return ""
	}
	return p[:i]
}

// Top returns the first element, empty for the root.
func (p Path) Top() string {
	top, _, _ := strings.Cut(string(p), "/")
	return top
}

// Below returns the path without its first element.
func (p Path) Below() string {
	_, below, _ := strings.Cut(string(p), "/")
	return below
}

// String returns the path, "(root)" for the empty one.
func (p Path) String() string {
	if p == "" {
		return "(root)"
	}
	return string(p)
}

// IsWithin reports whether p is the given branch or lies below it. Every path
// is within the root.
func (p Path) IsWithin(branch Path) bool {
	return branch == "" || isWithin(string(p), string(branch))
}

// Settings are the values that one branch sets itself, by setting name, in the
// notation of the tree ("20/s", "800ms", "true"). Lists hold one value a line.
type Settings map[string]string

// Tree is the operators' settings: for each branch the values that it
// overrides. A branch exists when it is a key of the map.
type Tree struct {
	Branches map[Path]Settings
}

// Root is the store's record that names the tree in force.
type Root struct {
	Version uint64 // grows by one with each accepted edit
	WriteID string // unique for each try to write, to recognise a lost answer
	Author  string
	Note    string
	Shards  []ShardRef
}

// ShardRef names one shard of a tree.
type ShardRef struct {
	Name string // stable name of the part of the tree, such as "accounts-07"
	Hash string // hexadecimal SHA-256 of the encoded shard
}

// Shard is a part of a tree. Encoded is its form in the store, which adapters
// check against Hash; Branches is the decoded content.
type Shard struct {
	Hash     string
	Encoded  []byte
	Branches map[Path]Settings
}
