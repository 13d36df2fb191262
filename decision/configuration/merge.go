package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Conflict is one place that two edits of a tree changed in different ways.
type Conflict struct {
	Branch  Path
	Setting string // empty: one edit removed the branch, the other changed it
	Base    string
	Mine    string
	Theirs  string
}

// absent stands for a setting or branch that is not there.
const absent = "(absent)"

// String returns the conflict as one line.
func (c Conflict) String() string {
	name := strings.TrimSuffix(c.Branch.String()+" "+c.Setting, " ")
	return fmt.Sprintf("%s: base %s, mine %s, theirs %s", name, c.Base, c.Mine, c.Theirs)
}

// Merge joins two edits of base. Edits of different settings are disjoint, and
// so are edits that add or remove different values of a list that merges by
// element. With conflicts the tree holds theirs in those places.
func Merge(base, mine, theirs Tree) (Tree, []Conflict) {
	m := merger{base: base, mine: mine, theirs: theirs, merged: theirs.Clone()}
	for p := range union(base.Branches, mine.Branches) {
		m.mergeBranch(p)
	}
	slices.SortFunc(m.conflicts, func(a, b Conflict) int {
		return cmp.Or(cmp.Compare(a.Branch, b.Branch), cmp.Compare(a.Setting, b.Setting))
	})
	return m.merged, m.conflicts
}

type merger struct {
	base, mine, theirs, merged Tree
	conflicts                  []Conflict
}

func (m *merger) mergeBranch(p Path) {
	base, inBase := m.base.Branches[p]
	mine, inMine := m.mine.Branches[p]
	theirs, inTheirs := m.theirs.Branches[p]
	isRemovedByThem := inBase && !inTheirs
	isRemovedByMe := inBase && !inMine
	switch {
	case isRemovedByMe && isRemovedByThem:
	case isRemovedByMe:
		m.removeBranch(p, base, theirs)
	case isRemovedByThem:
		m.keepRemoved(p, base, mine)
	default:
		m.mergeSettings(p, base, mine, theirs)
	}
}

// removeBranch removes a branch that they kept, unless they changed it.
func (m *merger) removeBranch(p Path, base, theirs Settings) {
	if len(diffSettings(p, base, theirs)) > 0 {
		m.conflict(Conflict{Branch: p, Base: "present", Mine: "removed", Theirs: "changed"})
		return
	}
	delete(m.merged.Branches, p)
}

// keepRemoved leaves a branch away that they removed, unless I changed it.
func (m *merger) keepRemoved(p Path, base, mine Settings) {
	if len(diffSettings(p, base, mine)) > 0 {
		m.conflict(Conflict{Branch: p, Base: "present", Mine: "changed", Theirs: "removed"})
	}
}

func (m *merger) conflict(c Conflict) { m.conflicts = append(m.conflicts, c) }

func (m *merger) mergeSettings(p Path, base, mine, theirs Settings) {
	if m.merged.Branches[p] == nil {
		m.merged.Branches[p] = make(Settings)
	}
	for name := range union(base, mine) {
		b, m1, t := lookup(base, name), lookup(mine, name), lookup(theirs, name)
		v, ok := mergeValue(p, name, b, m1, t)
		if !ok {
			m.conflict(Conflict{Branch: p, Setting: name, Base: b.String(), Mine: m1.String(), Theirs: t.String()})
			continue
		}
		v.store(m.merged.Branches[p], name)
	}
}

// mergeValue returns the merged value. It reports false where the edits
// conflict.
func mergeValue(p Path, name string, base, mine, theirs optional) (optional, bool) {
	switch {
	case mine == base:
		return theirs, true
	case theirs == base, theirs == mine:
		return mine, true
	}
	if d, ok := Lookup(p, name); ok && d.MergeByElement {
		return mergeLists(base, mine, theirs), true
	}
	return optional{}, false
}

// mergeLists keeps their values, without those that I removed, and adds those
// that I added.
func mergeLists(base, mine, theirs optional) optional {
	before, after := Lines(base.value), Lines(mine.value)
	var merged []string
	for _, v := range Lines(theirs.value) {
		isRemoved := slices.Contains(before, v) && !slices.Contains(after, v)
		if !isRemoved {
			merged = append(merged, v)
		}
	}
	for _, v := range after {
		isAdded := !slices.Contains(before, v) && !slices.Contains(merged, v)
		if isAdded {
			merged = append(merged, v)
		}
	}
	return optional{JoinLines(merged), len(merged) > 0}
}

// optional is a value of a setting that may be absent.
type optional struct {
	value string
	isSet bool
}

func lookup(settings Settings, name string) optional {
	value, ok := settings[name]
	return optional{value, ok}
}

func (o optional) store(settings Settings, name string) {
	if !o.isSet {
		delete(settings, name)
		return
	}
	settings[name] = o.value
}

func (o optional) String() string {
	if !o.isSet {
		return absent
	}
	return fmt.Sprintf("%q", o.value)
}

func union[K comparable, V any](a, b map[K]V) map[K]bool {
	keys := make(map[K]bool, len(a)+len(b))
	for k := range a {
		keys[k] = true
	}
	for k := range b {
		keys[k] = true
	}
	return keys
}
