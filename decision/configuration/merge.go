package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Conflict is a setting or branch that two edits of a tree changed differently.
type Conflict struct {
	Branch  Path
	Setting string // empty: one edit removed the branch, the other changed it
	Base    string
	Mine    string
	Theirs  string
}

// absent is shown in place of the value of a setting that is not set.
const absent = "(absent)"

// String returns the conflict as one line.
func (c Conflict) String() string {
	name := strings.TrimSuffix(c.Branch.String()+" "+c.Setting, " ")
	return fmt.Sprintf("%s: base %s, mine %s, theirs %s", name, c.Base, c.Mine, c.Theirs)
}

// Merge is a three-way merge of two edits of base. Edits of different settings do
// not conflict, nor do edits that add or remove different values of a list with
// MergeByElement. Where edits conflict, the returned tree holds theirs.
func Merge(base, mine, theirs Tree) (Tree, []Conflict) {
	m := merger{base: base, mine: mine, theirs: theirs, merged: theirs.Clone()}
	for p := range unionKeys(base.Branches, mine.Branches) {
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
		m.checkRemoved(p, base, mine)
	default:
		m.mergeSettings(p, base, mine, theirs)
	}
}

// removeBranch removes a branch that only I removed. It is a conflict if they
// changed the branch.
func (m *merger) removeBranch(p Path, base, theirs Settings) {
	if len(diffSettings(p, base, theirs)) > 0 {
		m.conflict(Conflict{Branch: p, Base: "present", Mine: "removed", Theirs: "changed"})
		return
	}
	delete(m.merged.Branches, p)
}

// checkRemoved handles a branch that only they removed, which is already absent
// from the merged tree. It is a conflict if I changed the branch.
func (m *merger) checkRemoved(p Path, base, mine Settings) {
	if len(diffSettings(p, base, mine)) > 0 {
		m.conflict(Conflict{Branch: p, Base: "present", Mine: "changed", Theirs: "removed"})
	}
}

func (m *merger) conflict(c Conflict) { m.conflicts = append(m.conflicts, c) }

func (m *merger) mergeSettings(p Path, base, mine, theirs Settings) {
	if m.merged.Branches[p] == nil {
		m.merged.Branches[p] = make(Settings)
	}
	for name := range unionKeys(base, mine) {
		b, m1, t := valueOf(base, name), valueOf(mine, name), valueOf(theirs, name)
		v, ok := mergeValue(p, name, b, m1, t)
		if !ok {
			m.conflict(Conflict{Branch: p, Setting: name, Base: b.String(), Mine: m1.String(), Theirs: t.String()})
			continue
		}
		v.applyTo(m.merged.Branches[p], name)
	}
}

// mergeValue returns the merged value of a setting, or false if the edits
// conflict.
func mergeValue(p Path, name string, base, mine, theirs optionalValue) (optionalValue, bool) {
	switch {
	case mine == base:
		return theirs, true
	case theirs == base, theirs == mine:
		return mine, true
	}
	if d, ok := Lookup(p, name); ok && d.MergeByElement {
		return mergeLists(base, mine, theirs), true
	}
	return optionalValue{}, false
}

// mergeLists returns their list without the values that I removed and with those
// that I added.
func mergeLists(base, mine, theirs optionalValue) optionalValue {
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
	return optionalValue{JoinLines(merged), len(merged) > 0}
}

// optionalValue is the value of a setting, which may not be set.
type optionalValue struct {
	value string
	isSet bool
}

func valueOf(settings Settings, name string) optionalValue {
	value, ok := settings[name]
	return optionalValue{value, ok}
}

func (o optionalValue) applyTo(settings Settings, name string) {
	if !o.isSet {
		delete(settings, name)
		return
	}
	settings[name] = o.value
}

func (o optionalValue) String() string {
	if !o.isSet {
		return absent
	}
	return fmt.Sprintf("%q", o.value)
}

func unionKeys[K comparable, V any](a, b map[K]V) map[K]bool {
	keys := make(map[K]bool, len(a)+len(b))
	for k := range a {
		keys[k] = true
	}
	for k := range b {
		keys[k] = true
	}
	return keys
}
