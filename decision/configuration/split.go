package configuration

import (
	"fmt"
	"hash/fnv"
	"maps"
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

func hashBit(p Path, bit int) int {
	h := fnv.New32a()
	h.Write([]byte(p))
	mixed := h.Sum32() * 0x9e3779b1 // the high bits of FNV-1a differ little for similar paths
	return int(mixed >> (31 - bit) & 1)
}
