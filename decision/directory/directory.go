package directory

import (
	"cmp"
	"maps"
	"slices"

	"pollensail.dev/decision/model"
)

// maxTombstones bounds the removed entries of a role that are retained.
const maxTombstones = 512

// Roles are the roles whose entries the list holds, in order.
var Roles = []model.Role{model.RoleEntry, model.RoleBackend}

// State is the list as far as it is known. Make it with New.
type State struct{ byRole map[model.Role]*roleEntries }

// roleEntries holds the entries of one role.
type roleEntries struct {
	items    map[string]model.ListItem // by name, tombstones included
	revision uint64                    // up to which all changes are known; 0: none
	// compactedRevision is the revision after which all changes are retained.
	compactedRevision uint64
}

// New returns an empty list of which no revision is known.
func New() *State {
	s := &State{byRole: make(map[model.Role]*roleEntries)}
	for _, role := range Roles {
		s.byRole[role] = &roleEntries{items: make(map[string]model.ListItem)}
	}
	return s
}

// Revision returns the revision up to which the entries of a role are known, 0
// for none.
func (s *State) Revision(role model.Role) uint64 {
	if p, ok := s.byRole[role]; ok {
		return p.revision
	}
	return 0
}

// IsKnown reports whether the entries of all roles are known. A list of some
// roles only would look as if hosts had been lost.
func (s *State) IsKnown() bool {
	for _, p := range s.byRole {
		if p.revision == 0 {
			return false
		}
	}
	return true
}

// Apply applies changes that were read and reports whether an entry changed. It
// ignores changes older than the known revision.
func (s *State) Apply(c model.ListChanges) bool {
	p, ok := s.byRole[c.Role]
	if !ok || c.Revision < p.revision {
		return false
	}
	wasKnown := p.revision > 0
	changed := false
	for _, item := range c.Items {
		changed = p.applyItem(item) || changed
	}
	if c.IsWhole {
		changed = p.removeMissing(c) || changed
	}
	p.revision = c.Revision
	p.compact()
	return changed || !wasKnown
}

// applyItem applies one change and reports whether it differs from what is
// known.
func (p *roleEntries) applyItem(item model.ListItem) bool {
	known, ok := p.items[item.Name]
	if ok && known.Revision >= item.Revision {
		return false
	}
	if item.IsRemoved {
		item.Entry = model.HostEntry{}
	}
	p.items[item.Name] = item
	isSame := ok && known.IsRemoved == item.IsRemoved && known.Entry == item.Entry
	return !isSame && (ok || !item.IsRemoved)
}

// removeMissing replaces the entries that are missing from a whole list by
// tombstones. It reports whether there were any.
func (p *roleEntries) removeMissing(c model.ListChanges) bool {
	named := make(map[string]bool, len(c.Items))
	for _, item := range c.Items {
		named[item.Name] = true
	}
	changed := false
	for name, known := range p.items {
		if !named[name] && !known.IsRemoved && known.Revision <= c.Revision {
			p.items[name] = model.ListItem{Name: name, Revision: c.Revision, IsRemoved: true}
			changed = true
		}
	}
	if p.revision == 0 {
		// This first list does not tell which entries were removed before.
		p.compactedRevision = c.Revision
	}
	return changed
}

// compact discards the older half of the tombstones where there are more than
// maxTombstones.
func (p *roleEntries) compact() {
	var revisions []uint64
	for _, item := range p.items {
		if item.IsRemoved {
			revisions = append(revisions, item.Revision)
		}
	}
	if len(revisions) <= maxTombstones {
		return
	}
	slices.Sort(revisions)
	p.compactedRevision = revisions[len(revisions)/2]
	maps.DeleteFunc(p.items, func(_ string, item model.ListItem) bool {
		return item.IsRemoved && item.Revision <= p.compactedRevision
	})
}

// ChangesSince returns the changes of a role after a revision, or all of its
// entries where the changes are no longer retained. It reports false where this
// list knows of no later revision.
func (s *State) ChangesSince(role model.Role, revision uint64) (model.ListChanges, bool) {
	p, ok := s.byRole[role]
	if !ok || p.revision <= revision {
		return model.ListChanges{}, false
	}
	c := model.ListChanges{
		Role:     role,
		IsWhole:  revision < p.compactedRevision,
		Revision: p.revision,
	}
	for _, item := range p.items {
		isWanted := item.Revision > revision
		if c.IsWhole {
			isWanted = !item.IsRemoved
		}
		if isWanted {
			c.Items = append(c.Items, item)
		}
	}
	slices.SortFunc(c.Items, byName)
	return c, true
}

// Entries returns all entries, sorted by role and name.
func (s *State) Entries() []model.HostEntry {
	var entries []model.HostEntry
	for _, role := range Roles {
		items := slices.SortedFunc(maps.Values(s.byRole[role].items), byName)
		for _, item := range items {
			if !item.IsRemoved {
				entries = append(entries, item.Entry)
			}
		}
	}
	return entries
}

func byName(a, b model.ListItem) int { return cmp.Compare(a.Name, b.Name) }
