package configuration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// ChangeKind is the kind of a Change.
type ChangeKind string

const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two trees. It concerns a setting, or the
// branch itself if Setting is empty.
type Change struct {
	Kind    ChangeKind
	Branch  Path
	Setting string
	Old     string // empty if Added
	New     string // empty if Removed
}

// String returns the change as one line.
func (c Change) String() string {
	name := strings.TrimSuffix(c.Branch.String()+" "+c.Setting, " ")
	switch {
	case c.Setting == "":
		return fmt.Sprintf("%s branch %s", c.Kind, name)
	case c.Kind == Added:
		return fmt.Sprintf("%s %s = %q", c.Kind, name, c.New)
	case c.Kind == Removed:
		return fmt.Sprintf("%s %s = %q", c.Kind, name, c.Old)
	default:
		return fmt.Sprintf("%s %s = %q to %q", c.Kind, name, c.Old, c.New)
	}
}

// Diff returns the changes from one tree to another, sorted by branch and
// setting.
func Diff(old, new Tree) []Change {
	var changes []Change
	for p, before := range old.Branches {
		after, ok := new.Branches[p]
		if !ok {
			changes = append(changes, branchChange(Removed, p)...)
		}
		changes = append(changes, diffSettings(p, before, after)...)
	}
	for p, after := range new.Branches {
		if _, ok := old.Branches[p]; !ok {
			changes = append(changes, branchChange(Added, p)...)
			changes = append(changes, diffSettings(p, nil, after)...)
		}
	}
	sortChanges(changes)
	return changes
}

// branchChange returns the change that adds or removes a branch. There is none
// for the root, which always exists.
func branchChange(kind ChangeKind, p Path) []Change {
	if p == "" {
		return nil
	}
	return []Change{{Kind: kind, Branch: p}}
}

func diffSettings(p Path, old, new Settings) []Change {
	if maps.Equal(old, new) {
		return nil
	}
	var changes []Change
	for name, before := range old {
		after, ok := new[name]
		switch {
		case !ok:
			changes = append(changes, Change{Removed, p, name, before, ""})
		case before != after:
			changes = append(changes, Change{Changed, p, name, before, after})
		}
	}
	for name, after := range new {
		if _, ok := old[name]; !ok {
			changes = append(changes, Change{Added, p, name, "", after})
		}
	}
	return changes
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Branch, b.Branch), cmp.Compare(a.Setting, b.Setting))
	})
}
