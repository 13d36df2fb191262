package decision_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision"
	"pollensail.dev/decision/directory"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

const (
	// maxUnlistTime is the time within which the hosts have to drop a server that
	// left the list.
	maxUnlistTime = 2 * time.Second
	// testListAge is the setting list_age of these tests, and watchTimeout the
	// interval at which a watch without changes is answered.
	testListAge  = 1750 * time.Millisecond
	watchTimeout = 600 * time.Millisecond
	// callTime is how long a store call takes that does not wait for changes.
	callTime = 5 * time.Millisecond
)

// platformList is the platform's list in its store, and the hosts that follow
// it there.
type platformList struct {
	fleet     *fleettest.Fleet
	revision  uint64
	items     []model.ListItem // the latest change of each entry
	follows   map[*fleettest.Host]map[model.Role]uint64
	lostStore map[*fleettest.Host]bool
	calls     int
}

// newListFleet returns a fleet in which the owners of the watch follow a list
// with two servers.
func newListFleet(seed uint64, hosts int) *platformList {
	l := &platformList{
		follows:   make(map[*fleettest.Host]map[model.Role]uint64),
		lostStore: make(map[*fleettest.Host]bool),
	}
	snapshot := limitsSnapshot(1, 4, nil)
	snapshot.ListAge = testListAge
	entries := entryHosts(hosts, 4)
	for _, e := range entries {
		l.put(e)
	}
	l.put(model.HostEntry{ID: "a:1", Role: model.RoleBackend, Service: "lookup"})
	l.put(model.HostEntry{ID: "b:1", Role: model.RoleBackend, Service: "lookup"})
	l.fleet = fleettest.New(fleettest.Options{
		Seed: seed, Hosts: entries, Link: regionLink, Snapshot: snapshot,
		Configure: decision.SetSnapshot, Intercept: l.intercept,
	})
	for _, e := range entries {
		l.follow(l.fleet.Hosts[model.HostID(e.ID)], 0, 0)
	}
	l.fleet.After(0, l.answerAll)
	return l
}

func (l *platformList) put(e model.HostEntry) {
	l.revision++
	for i := range l.items {
		if l.items[i].Name == e.ID {
			l.items[i] = model.ListItem{Name: e.ID, Revision: l.revision, Entry: e}
			return
		}
	}
	l.items = append(l.items, model.ListItem{Name: e.ID, Revision: l.revision, Entry: e})
}

func (l *platformList) remove(id string) {
	l.revision++
	for i, item := range l.items {
		if item.Name == id {
			item.Revision, item.IsRemoved = l.revision, true
			l.items[i] = item
		}
	}
}

func (l *platformList) follow(h *fleettest.Host, hosts, servers uint64) {
	l.follows[h] = map[model.Role]uint64{model.RoleEntry: hosts, model.RoleBackend: servers}
}

func (l *platformList) intercept(h *fleettest.Host, f effect.Effect) bool {
	e, ok := f.(effect.WatchHostList)
	if ok && e.IsOn {
		l.follow(h, e.HostsRevision, e.ServersRevision)
		l.fleet.After(callTime, func() { l.answerOne(h) })
	}
	if ok && !e.IsOn {
		delete(l.follows, h)
	}
	return ok
}

// answerAll answers each watch, and does so again after watchTimeout.
func (l *platformList) answerAll() {
	for _, e := range l.fleet.Options.Hosts {
		l.answerOne(l.fleet.Hosts[model.HostID(e.ID)])
	}
	l.fleet.After(watchTimeout, l.answerAll)
}

func (l *platformList) answerOne(h *fleettest.Host) {
	known, ok := l.follows[h]
	if !ok || !h.Running() {
		return
	}
	l.calls++
	if l.fleet.Store.Down || l.fleet.Store.Unreachable[h.Ref.ID] {
		l.lostStore[h] = true
		return
	}
	isResumed := l.lostStore[h]
	delete(l.lostStore, h)
	for _, role := range directory.Roles {
		revision := known[role]
		known[role] = l.revision
		h.Post(event.HostListSynced{Changes: l.since(role, revision), Resumed: isResumed})
	}
}

func (l *platformList) since(role model.Role, revision uint64) model.ListChanges {
	changes := model.ListChanges{Role: role, IsWhole: revision == 0, Revision: l.revision}
	for _, item := range l.items {
		if item.Entry.Role == role && item.Revision > revision {
			changes.Items = append(changes.Items, item)
		}
	}
	return changes
}

// countListing counts the running hosts that have the server in their list.
func (l *platformList) countListing(id string) int {
	n := 0
	for _, h := range l.fleet.Hosts {
		if h.Running() && decision.IsListed(h.State, id) {
			n++
		}
	}
	return n
}

func (l *platformList) followers() []*fleettest.Host {
	var hosts []*fleettest.Host
	for _, h := range l.fleet.Hosts {
		if h.Running() && decision.FollowsStore(h.State) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// TestFewFollowList guards against store calls that grow with the fleet: once
// the slots have owners, only the owners of the first slot of each domain
// follow the list.
func TestFewFollowList(t *testing.T) {
	c := qt.New(t)
	l := newListFleet(1, 40)
	l.fleet.Run(20 * time.Second)
	c.Assert(l.followers(), qt.HasLen, 4)
	before := l.calls
	l.fleet.Run(60 * time.Second)
	c.Check(l.calls-before <= 5*int(60*time.Second/watchTimeout), qt.IsTrue, qt.Commentf("%d calls", l.calls-before))
	c.Check(l.countListing("b:1"), qt.Equals, 40)
}

// TestLeavingServerIsUnlisted guards against requests to a server that left
// the list while the hosts that follow it for the others are killed, paused or
// cut off.
func TestLeavingServerIsUnlisted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*platformList, *fleettest.Host)
	}{
		{"none", func(*platformList, *fleettest.Host) {}},
		{"killed", func(_ *platformList, h *fleettest.Host) { h.Kill() }},
		{"paused", func(_ *platformList, h *fleettest.Host) { h.Pause() }},
		{"cut off from the store", func(l *platformList, h *fleettest.Host) { l.fleet.Store.Unreachable[h.Ref.ID] = true }},
		{"cut off from the hosts in one direction", func(l *platformList, h *fleettest.Host) {
			for id := range l.fleet.Hosts {
				l.fleet.Partitioned[fleettest.Direction{From: h.Ref.ID, To: id}] = true
			}
		}},
	} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%s, seed %d", tc.name, seed), func(t *testing.T) {
				c := qt.New(t)
				l := newListFleet(seed, 40)
				l.fleet.Run(20*time.Second + time.Duration(seed)*130*time.Millisecond)
				c.Assert(l.countListing("b:1"), qt.Equals, 40)
				for _, h := range l.followers() {
					tc.fault(l, h)
				}
				l.remove("b:1")
				l.fleet.Run(maxUnlistTime)
				cut := len(l.fleet.Store.Unreachable)
				c.Check(l.countListing("b:1") <= cut, qt.IsTrue, qt.Commentf("%d hosts, %d cut off", l.countListing("b:1"), cut))
				c.Check(l.countListing("a:1") > 30, qt.IsTrue)
			})
		}
	}
}

// TestRestartedServerIsUsedAgain guards against a server that is never used again
// after a restart under its ID, because heartbeats still announce that the process
// before is leaving. In a fleet of any size no host may miss the restart.
func TestRestartedServerIsUsedAgain(t *testing.T) {
	for _, hosts := range []int{4, 8, 40} {
		for seed := range uint64(5) {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				c := qt.New(t)
				l := newListFleet(seed, hosts)
				l.fleet.Run(20 * time.Second)
				process := model.HostEntry{ID: "b:1", Role: model.RoleBackend, Service: "lookup", Since: 1}
				for restart := range 3 {
					process.Leaving = false
					process.Since = model.WallTime(1 + restart)
					l.put(process)
					l.fleet.Run(2 * time.Second)
					c.Assert(l.countLeaving("b:1"), qt.Equals, 0)
					process.Leaving = true
					l.put(process)
					l.fleet.Run(3 * time.Second)
					c.Assert(l.countLeaving("b:1"), qt.Equals, hosts)
					l.remove("b:1")
					l.fleet.Run(time.Second)
				}
			})
		}
	}
}

// countLeaving counts the running hosts for which the server is leaving.
func (l *platformList) countLeaving(id string) int {
	n := 0
	for _, h := range l.fleet.Hosts {
		if h.Running() && decision.IsLeaving(h.State, id) {
			n++
		}
	}
	return n
}

// TestLapsedServersReturn guards against a fleet without servers after a store
// outage in which their entries expired, and against requests to a server that
// does not reappear.
func TestLapsedServersReturn(t *testing.T) {
	c := qt.New(t)
	l := newListFleet(3, 40)
	l.fleet.Run(20 * time.Second)
	l.fleet.Store.Down = true
	l.fleet.Run(8 * time.Second)
	l.remove("a:1")
	l.remove("b:1")
	l.fleet.Store.Down = false
	l.fleet.Run(1500 * time.Millisecond)
	c.Check(l.countListing("a:1"), qt.Equals, 40)
	c.Check(l.countListing("b:1"), qt.Equals, 40)
	l.put(model.HostEntry{ID: "a:1", Role: model.RoleBackend, Service: "lookup"})
	l.fleet.Run(1500 * time.Millisecond)
	c.Check(l.countListing("a:1"), qt.Equals, 40)
	c.Check(l.countListing("b:1"), qt.Equals, 0)
}
