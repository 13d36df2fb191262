package directory

import (
	"cmp"
	"maps"
	"slices"

	"pollensail.dev/decision/model"
)

// maxRemoved is how many removed entries of a part are remembered.
const maxRemoved = 512

// Roles are the parts of the list.
var Roles = []model.Role{model.RoleEntry, model.RoleBackend}

// State is the list as far as it is known. Make it with New.
type State struct{ parts map[model.Role]*part }

// part is the entries of one role.
type part struct {
	items    map[string]model.ListItem // by name, removed ones included
	revision uint64                    // up to which all changes are known; 0: none
	// changesFrom is the revision after which all changes are remembered.
	changesFrom uint64
}

// New returns a list of which nothing is known.
func New() *State {
	s := &State{parts: make(map[model.Role]*part)}
	for _, role := range Roles {
		s.parts[role] = &part{items: make(map[string]model.ListItem)}
	}
	return s
}

// Revision returns the revision up to which the entries of a role are known, 0
// for none.
func (s *State) Revision(role model.Role) uint64 {
	if p, ok := s.parts[role]; ok {
		return p.revision
	}
	return 0
}

// IsKnown reports whether all parts are known. Half a list would look like a
// loss of hosts.
func (s *State) IsKnown() bool {
	for _, p := range s.parts {
		if p.revision == 0 {
			return false
		}
	}
	return true
}

// Take takes what was read of a part and reports whether an entry changed. What
// is older than what is known changes nothing.
func (s *State) Take(c model.ListChanges) bool {
	p, ok := s.parts[c.Role]
	if !ok || c.Revision < p.revision {
		return false
	}
	wasKnown := p.revision > 0
	changed := false
	for _, item := range c.Items {
		changed = p.take(item) || changed
	}
	if c.IsWhole {
		changed = p.removeOthers(c) || changed
	}
	p.revision = c.Revision
	p.forget()
	return changed || !wasKnown
}

// take takes one change and reports whether it says something new.
func (p *part) take(item model.ListItem) bool {
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

// removeOthers removes the entries that a whole list lacks.
func (p *part) removeOthers(c model.ListChanges) bool {
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
		p.changesFrom = c.Revision
	}
	return changed
}

// forget drops the older half of the removed entries where there are too many.
func (p *part) forget() {
	var revisions []uint64
	for _, item := range p.items {
		if item.IsRemoved {
			revisions = append(revisions, item.Revision)
		}
	}
	if len(revisions) <= maxRemoved {
		return
	}
	slices.Sort(revisions)
	p.changesFrom = revisions[len(revisions)/2]
	maps.DeleteFunc(p.items, func(_ string, item model.ListItem) bool {
		return item.IsRemoved && item.Revision <= p.changesFrom
	})
}

// Since returns the changes of a part after a revision, or the whole part where
// they are not remembered. It reports false where this list knows no more.
func (s *State) Since(role model.Role, revision uint64) (model.ListChanges, bool) {
	p, ok := s.parts[role]
	if !ok || p.revision <= revision {
		return model.ListChanges{}, false
	}
	c := model.ListChanges{
		Role:     role,
		IsWhole:  revision < p.changesFrom,
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

// Entries returns all entries, in order of their parts and names.
func (s *State) Entries() []model.HostEntry {
	var entries []model.HostEntry
	for _, role := range Roles {
		items := slices.SortedFunc(maps.Values(s.parts[role].items), byName)
		for _, item := range items {
			if !item.IsRemoved {
				entries = append(entries, item.Entry)
			}
		}
	}
	return entries
}

func byName(a, b model.ListItem) int { return cmp.Compare(a.Name, b.Name) }
