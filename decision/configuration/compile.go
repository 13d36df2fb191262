package configuration

import (
	"maps"
	"slices"
)

// Compile returns the snapshot of a tree, or nil and the problems of the tree.
// Equal trees give equal snapshots.
func Compile(tree Tree, version uint64) (*Snapshot, Problems) {
	c := NewCompiler(version)
	inner := innerBranches(tree)
	paths := slices.Sorted(maps.Keys(tree.Branches))
	for _, p := range paths {
		if inner[p] {
			c.addInner(p, tree.Branches[p])
		}
	}
	for _, p := range paths {
		if !inner[p] {
			c.addObject(p, tree.Branches[p])
		}
	}
	return c.Finish()
}

// Validate returns every problem of a tree, sorted by branch.
func Validate(tree Tree) Problems {
	_, problems := Compile(tree, 0)
	return problems
}

// innerBranches returns the paths that have branches below them, and those of
// the root and the top branches, which are never objects.
func innerBranches(tree Tree) map[Path]bool {
	inner := map[Path]bool{"": true, TopAccounts: true, TopRoutes: true, TopServices: true}
	for p := range tree.Branches {
		addAncestors(inner, p)
	}
	return inner
}

// addAncestors adds the paths of all branches above p.
func addAncestors(inner map[Path]bool, p Path) {
	for q := p.Parent(); !inner[q]; q = q.Parent() {
		inner[q] = true
	}
}
