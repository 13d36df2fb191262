package configuration

import (
	"fmt"
	"maps"
	"strings"
)

// maxShardSize is the size in bytes, about, above which a shard is divided.
const maxShardSize = 32 << 10

// maxDivisions bounds how often a shard is divided: more bits of the hash do
// not help where single branches are large.
const maxDivisions = 16

// branchOverhead and settingOverhead are the bytes that the JSON encoding adds
// to a branch and to a setting.
const (
	branchOverhead  = 6
	settingOverhead = 6
)

// rootShard is the name of the shard with the root branch.
const rootShard = "root"

// innerSuffix marks the shards of inner branches.
const innerSuffix = ".inner"

// Parts are the contents of a tree's shards by shard name.
type Parts map[string]map[Path]Settings

// Split divides a tree into shards. Inner branches and objects of each top
// branch lie in shards of their own. A group that is too large is divided by
// the bits of the paths' hashes, so an edit of one branch changes one shard,
// or divides or joins one. The maps of the settings are shared with the tree.
func Split(tree Tree) Parts {
	parts := make(Parts)
	for name, paths := range shardGroups(tree) {
		divide(parts, tree, name, paths, 0)
	}
	return parts
}

// Join is the inverse of Split. It reports an error where two parts hold the
// same branch.
func Join(parts Parts) (Tree, error) {
	tree := Tree{Branches: make(map[Path]Settings)}
	for name, branches := range parts {
		for p := range branches {
			if _, ok := tree.Branches[p]; ok {
				return Tree{}, fmt.Errorf("shard %s: branch %q is in another shard too", name, p)
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
		name := shardGroup(p, inner[p])
		groups[name] = append(groups[name], p)
	}
	return groups
}

func shardGroup(p Path, isInner bool) string {
	switch {
	case p == "":
		return rootShard
	case isInner:
		return p.Top() + innerSuffix
	default:
		return p.Top()
	}
}

// divide puts the branches into the part of the given name, or into two parts
// that differ in the next bit of the hash.
func divide(parts Parts, tree Tree, name string, paths []Path, bit int) {
	if bit == maxDivisions || encodedSize(tree, paths) <= maxShardSize {
		parts[name] = pick(tree, paths)
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
			divide(parts, tree, fmt.Sprint(name, half), paths, bit+1)
		}
	}
}

// IsInnerShard reports whether a shard holds the root or inner branches.
func IsInnerShard(name string) bool {
	group, _, _ := strings.Cut(name, "-")
	return group == rootShard || strings.HasSuffix(group, innerSuffix)
}

// shardTop returns the top branch of a shard, empty for that of the root.
func shardTop(name string) string {
	group, _, _ := strings.Cut(name, "-")
	if group == rootShard {
		return ""
	}
	return strings.TrimSuffix(group, innerSuffix)
}

// shardRange is the part of a top branch that a shard holds: the paths whose
// hash begins with the given bits.
type shardRange struct {
	top   string
	bits  uint32 // the first of them is the highest bit
	count int
}

// rangeOf reports false for a name that Split does not give.
func rangeOf(name string) (shardRange, bool) {
	_, digits, _ := strings.Cut(name, "-")
	r := shardRange{top: shardTop(name), count: len(digits)}
	for i, digit := range []byte(digits) {
		if digit != '0' && digit != '1' || i >= maxDivisions {
			return r, false
		}
		r.bits |= uint32(digit-'0') << (31 - i)
	}
	return r, true
}

// holds reports whether the path "top/below" is in the range.
func (r shardRange) holds(top, below string) bool {
	return top == r.top && (r.bits^pathHash(top, below))>>(32-r.count) == 0
}

func pick(tree Tree, paths []Path) map[Path]Settings {
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

// hashBit returns the bit of the path's hash that divides a group for the
// bit-th time.
func hashBit(p Path, bit int) int {
	return int(pathHash(p.Top(), p.Below()) >> (31 - bit) & 1)
}

// The parameters of 32-bit FNV-1a, and a multiplier that spreads its low bits,
// because the high bits differ little for similar paths.
const (
	fnvOffset  = 2166136261
	fnvPrime   = 16777619
	multiplier = 0x9e3779b1
)

// pathHash returns the hash of the path "top/below".
func pathHash(top, below string) uint32 {
	h := fnvAdd(fnvOffset, top)
	h = fnvAdd(h, "/")
	return fnvAdd(h, below) * multiplier
}

func fnvAdd(h uint32, s string) uint32 {
	for i := range len(s) {
		h = (h ^ uint32(s[i])) * fnvPrime
	}
	return h
}
