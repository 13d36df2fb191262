package directory

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

func item(name string, revision uint64) model.ListItem {
	return model.ListItem{Name: name, Revision: revision, Entry: model.HostEntry{ID: name, Role: model.RoleBackend}}
}

func removed(name string, revision uint64) model.ListItem {
	return model.ListItem{Name: name, Revision: revision, IsRemoved: true}
}

func backends(revision uint64, isWhole bool, items ...model.ListItem) model.ListChanges {
	return model.ListChanges{Role: model.RoleBackend, IsWhole: isWhole, Revision: revision, Items: items}
}

func ids(s *State) []string {
	list := []string{}
	for _, e := range s.Entries() {
		list = append(list, e.ID)
	}
	return list
}

// TestChanges guards against outdated changes that add or remove entries, as
// when two hosts answer in turn.
func TestChanges(t *testing.T) {
	c := qt.New(t)
	s := New()
	c.Check(s.Apply(backends(5, true, item("a", 3), item("b", 4))), qt.IsTrue)
	c.Check(s.IsKnown(), qt.IsFalse)
	c.Check(s.Apply(backends(7, false, removed("a", 6))), qt.IsTrue)
	c.Check(s.Apply(backends(6, false, item("a", 5))), qt.IsFalse)
	c.Check(s.Apply(backends(8, false, item("b", 8))), qt.IsFalse) // refreshed without a change
	c.Check(ids(s), qt.DeepEquals, []string{"b"})
	c.Check(s.Apply(backends(9, true, item("c", 9))), qt.IsTrue)
	c.Check(ids(s), qt.DeepEquals, []string{"c"})
	c.Check(s.Revision(model.RoleBackend), qt.Equals, uint64(9))
}

// TestSince guards against a host that keeps a removed server because the
// change that it asks for is no longer retained.
func TestSince(t *testing.T) {
	c := qt.New(t)
	s, peer := New(), New()
	s.Apply(backends(5, true, item("a", 3), item("b", 4)))
	whole, ok := s.ChangesSince(model.RoleBackend, 0)
	c.Assert(ok && whole.IsWhole, qt.IsTrue)
	peer.Apply(whole)
	_, ok = s.ChangesSince(model.RoleBackend, 5)
	c.Check(ok, qt.IsFalse)

	s.Apply(backends(6, false, removed("a", 6)))
	news, ok := s.ChangesSince(model.RoleBackend, 5)
	c.Assert(ok && !news.IsWhole, qt.IsTrue)
	c.Check(news.Items, qt.DeepEquals, []model.ListItem{removed("a", 6)})

	for i := range uint64(2 * maxTombstones) {
		s.Apply(backends(10+2*i, false, item(fmt.Sprint(i), 10+2*i)))
		s.Apply(backends(11+2*i, false, removed(fmt.Sprint(i), 11+2*i)))
	}
	old, _ := s.ChangesSince(model.RoleBackend, 5)
	c.Check(old.IsWhole, qt.IsTrue)
	peer.Apply(old)
	c.Check(ids(peer), qt.DeepEquals, []string{"b"})
	c.Check(len(s.byRole[model.RoleBackend].items) <= maxTombstones+2, qt.IsTrue)
}
