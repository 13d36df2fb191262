package configuration

import (
	"cmp"
	"slices"
)

// EffectiveValue is the value of a setting at a branch.
type EffectiveValue struct {
	Setting string
	Value   string
	// From is the branch that sets the value, unless IsDefault.
	From Path
	// IsDefault reports that no branch sets the value.
	IsDefault bool
}

// Effective returns the settings in force at a branch, each with the branch that
// sets it, in the order of the definitions. Unknown settings of the branch
// follow, sorted by name.
func (t Tree) Effective(p Path) []EffectiveValue {
	kind, _ := KindOf(p)
	var values []EffectiveValue
	for _, d := range Definitions(kind) {
		if v, ok := t.effectiveSetting(p, d); ok {
			values = append(values, v)
		}
	}
	return append(values, t.unknownSettings(p)...)
}

func (t Tree) effectiveSetting(p Path, d Setting) (EffectiveValue, bool) {
	for q := p; ; q = q.Parent() {
		if value, ok := t.Branches[q][d.Name]; ok {
			return EffectiveValue{Setting: d.Name, Value: value, From: q}, true
		}
		if d.OwnOnly || q == Path(q.Top()) {
			break
		}
	}
	v := EffectiveValue{Setting: d.Name, Value: d.Default, IsDefault: true}
	return v, d.Default != ""
}

func (t Tree) unknownSettings(p Path) []EffectiveValue {
	var values []EffectiveValue
	for name, value := range t.Branches[p] {
		if _, ok := Lookup(p, name); !ok {
			values = append(values, EffectiveValue{Setting: name, Value: value, From: p})
		}
	}
	slices.SortFunc(values, func(a, b EffectiveValue) int { return cmp.Compare(a.Setting, b.Setting) })
	return values
}

// Clone returns a copy that shares no map with t.
func (t Tree) Clone() Tree {
	clone := Tree{Branches: make(map[Path]Settings, len(t.Branches))}
	for p, settings := range t.Branches {
		clone.Branches[p] = cloneSettings(settings)
	}
	return clone
}

// Set sets a value and adds the branch if it does not exist. t.Branches must not
// be nil.
func (t Tree) Set(p Path, name, value string) {
	if t.Branches[p] == nil {
		t.Branches[p] = make(Settings)
	}
	t.Branches[p][name] = value
}

func cloneSettings(settings Settings) Settings {
	clone := make(Settings, len(settings))
	for name, value := range settings {
		clone[name] = value
	}
	return clone
}
