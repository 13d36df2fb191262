package configuration

import (
	"fmt"
	"maps"
	"strings"
)

// maxShardSize is the approximate size in bytes above which a shard is divided.
const maxShardSize = 32 << 10

// maxHashBits bounds how often a shard is divided, each time by one more bit of
// the hash. More bits do not help if single branches are large.
const maxHashBits = 16

// branchOverhead and settingOverhead are the bytes that the JSON encoding adds
// for each branch and each setting.
const (
	branchOverhead  = 6
	settingOverhead = 6
)

// rootShard is the name of the shard with the root branch.
const rootShard = "root"

// innerSuffix marks the shards of inner branches.
const innerSuffix = ".inner"

// ShardContents holds the branches of each shard of a tree by shard name.
type ShardContents map[string]map[Path]Settings

// Split divides a tree into shards. For each top branch, the inner branches form
// one group and the objects another. A group that is too large is divided by
// the bits of the paths' hashes, as in a binary trie, so that an edit of one
// branch changes one shard, or splits or merges one. The returned maps of
// settings are shared with the tree.
func Split(tree Tree) ShardContents {
	parts := make(ShardContents)
	for name, paths := range shardGroups(tree) {
		splitGroup(parts, tree, name, paths, 0)
	}
	return parts
}

// Join is the inverse of Split. It returns an error if two shards hold the same
// branch.
func Join(parts ShardContents) (Tree, error) {
	tree := Tree{Branches: make(map[Path]Settings)}
	for name, branches := range parts {
		for p := range branches {
			if _, ok := tree.Branches[p]; ok {
				return Tree{}, fmt.Errorf("shard %s: branch %q is also in another shard", name, p)
			}
		}
		maps.Copy(tree.Branches, branches)
	}
	return tree, nil
}

func shardGroups(tree Tree) map[string][]Path {
	inner := innerBranches(tree)
	groups := make(map[string][]Path)
	for p := range tree.Branches {
		name := shardGroupOf(p, inner[p])
		groups[name] = append(groups[name], p)
	}
	return groups
}

// shardGroupOf returns the name of the undivided shard of a branch.
func shardGroupOf(p Path, isInner bool) string {
	switch {
	case p == "":
		return rootShard
	case isInner:
		return p.Top() + innerSuffix
	default:
		return p.Top()
	}
}

// splitGroup puts the branches into the shard of the given name or, if they are
// too large, divides them by the next bit of the hash.
func splitGroup(parts ShardContents, tree Tree, name string, paths []Path, bit int) {
	if bit == maxHashBits || encodedSize(tree, paths) <= maxShardSize {
		parts[name] = selectBranches(tree, paths)
		return
	}
	if bit == 0 {
		name += "-"
	}
	var halves [2][]Path
	for _, p := range paths {
		half := hashBit(p, bit)
		halves[half] = append(halves[half], p)
	}
	for half, paths := range halves {
		if len(paths) > 0 {
			splitGroup(parts, tree, fmt.Sprint(name, half), paths, bit+1)
		}
	}
}

// IsInnerShard reports whether a shard holds the root branch or inner branches.
func IsInnerShard(name string) bool {
	group, _, _ := strings.Cut(name, "-")
	return group == rootShard || strings.HasSuffix(group, innerSuffix)
}

// shardTop returns the top branch of a shard, or "" for the shard of the root.
func shardTop(name string) string {
	group, _, _ := strings.Cut(name, "-")
	if group == rootShard {
		return ""
	}
	return strings.TrimSuffix(group, innerSuffix)
}

// shardRange is the range of paths that a shard holds: those below a top branch
// whose hash begins with the given bits.
type shardRange struct {
	top      string
	bits     uint32 // prefix of the hash, in the highest bits
	bitCount int
}

// parseShardName returns the range of a shard by its name, or false for a name
// that Split does not give.
func parseShardName(name string) (shardRange, bool) {
	_, digits, _ := strings.Cut(name, "-")
	r := shardRange{top: shardTop(name), bitCount: len(digits)}
	for i, digit := range []byte(digits) {
		if digit != '0' && digit != '1' || i >= maxHashBits {
			return r, false
		}
		r.bits |= uint32(digit-'0') << (31 - i)
	}
	return r, true
}

// contains reports whether the path "top/below" is in the range.
func (r shardRange) contains(top, below string) bool {
	return top == r.top && (r.bits^pathHash(top, below))>>(32-r.bitCount) == 0
}

func selectBranches(tree Tree, paths []Path) map[Path]Settings {
	branches := make(map[Path]Settings, len(paths))
	for _, p := range paths {
		branches[p] = tree.Branches[p]
	}
	return branches
}

func encodedSize(tree Tree, paths []Path) int {
	n := 0
	for _, p := range paths {
		n += len(p) + branchOverhead
		for name, value := range tree.Branches[p] {
			n += len(name) + len(value) + settingOverhead
		}
	}
	return n
}

// hashBit returns a bit of the path's hash, 0 or 1. Bit 0 is the highest.
func hashBit(p Path, bit int) int {
	return int(pathHash(p.Top(), p.Below()) >> (31 - bit) & 1)
}

// The parameters of 32-bit FNV-1a, and the multiplier of Knuth's multiplicative
// hashing, which spreads the low bits of the hash to the high bits. The high bits
// of FNV-1a differ little for similar paths.
const (
	fnvOffset       = 2166136261
	fnvPrime        = 16777619
	knuthMultiplier = 0x9e3779b1
)

// pathHash returns the hash of the path "top/below".
func pathHash(top, below string) uint32 {
	h := fnvAdd(fnvOffset, top)
	h = fnvAdd(h, "/")
	return fnvAdd(h, below) * knuthMultiplier
}

func fnvAdd(h uint32, s string) uint32 {
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * fnvPrime
	}
	return h
}
