package decision

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// TestServersAbsentAfterOutage guards against a service without servers just
// after a store outage in which their entries expired, and against requests to
// a server that does not reappear or had announced that it leaves.
func TestServersAbsentAfterOutage(t *testing.T) {
	entry := func(id string, leaving bool) model.HostEntry {
		return model.HostEntry{ID: id, Role: model.RoleBackend, Service: simService, Leaving: leaving}
	}
	for _, tc := range []struct {
		name    string
		resumed bool
		after   time.Duration
		want    []model.ServerID
	}{
		{"just after the outage", true, time.Second, []model.ServerID{"b:1", "c:1"}},
		{"two seconds later", true, relistGrace + time.Millisecond, []model.ServerID{"c:1"}},
		{"without an outage", false, time.Second, []model.ServerID{"c:1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			m := newSim(t, simOptions{hosts: 1, servers: 0, rate: 1, floor: 0.5})
			h := m.hosts[0]
			h.reduce(event.HostListSynced{Changes: wholeList(model.RoleEntry, 1, m.list...)})
			h.reduce(event.HostListSynced{Changes: wholeList(model.RoleBackend, 2, entry("a:1", true), entry("b:1", false))})
			h.reduce(event.HostListSynced{
				Changes: wholeList(model.RoleBackend, 3, entry("c:1", false)),
				Resumed: tc.resumed,
			})
			Reduce(h.state, event.Event{At: h.state.now.Add(tc.after), Wall: 1, Body: event.TimerFired{}})
			var got []model.ServerID
			for _, s := range h.state.usableServers(h.state.snapshot.Services[simService]) {
				got = append(got, s.ID)
			}
			c.Assert(got, qt.ContentEquals, tc.want)
		})
	}
}

// wholeList returns a complete list of a role's entries at a revision.
func wholeList(role model.Role, revision uint64, entries ...model.HostEntry) model.ListChanges {
	changes := model.ListChanges{Role: role, IsWhole: true, Revision: revision}
	for _, e := range entries {
		changes.Items = append(changes.Items, model.ListItem{Name: e.ID, Revision: revision, Entry: e})
	}
	return changes
}
