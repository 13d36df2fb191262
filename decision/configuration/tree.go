package configuration

import "strings"

// Path identifies a branch by its elements, joined by "/". The empty path is the
// root of the tree. The first element is "accounts", "routes" or "services".
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

// Top returns the first element, or "" for the root.
func (p Path) Top() string {
	top, _, _ := strings.Cut(string(p), "/")
	return top
}

// Below returns the path without its first element.
func (p Path) Below() string {
	_, below, _ := strings.Cut(string(p), "/")
	return below
}

// String returns the path, or "(root)" if it is empty.
func (p Path) String() string {
	if p == "" {
		return "(root)"
	}
	return string(p)
}

// IsWithin reports whether p is the given branch or below it. Every path is
// within the root.
func (p Path) IsWithin(branch Path) bool {
	return branch == "" || isWithin(string(p), string(branch))
}

// Settings holds the values that a branch sets itself, without inherited ones,
// by setting name. Values are in the notation of the tree ("20/s", "800ms",
// "true"). Lists have one element per line.
type Settings map[string]string

// Tree holds the operators' settings: for each branch the values that it sets.
// A branch exists if it is a key of the map, even without values.
type Tree struct {
	Branches map[Path]Settings
}

// Root is the store's record of the tree in force. It refers to the tree's shards
// by their hashes. It is not the root branch, which is the empty Path.
type Root struct {
	Version uint64 // increases by one with each accepted edit
	WriteID string // unique for each attempt to write, to recognize a write whose reply was lost
	Author  string
	Note    string
	Shards  []ShardRef
}

// ShardRef refers to one shard of a tree.
type ShardRef struct {
	Name string // stable name of the part of the tree, such as "accounts-01"; see Split
	Hash string // hexadecimal SHA-256 hash of the encoded shard
}

// Shard is a part of a tree, addressed by the hash of its content. Encoded is its
// form in the store, which adapters verify against Hash. Branches is the decoded
// content.
type Shard struct {
	Hash     string
	Encoded  []byte
	Branches map[Path]Settings
}
