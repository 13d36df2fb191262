package decision_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// restore is a restore of the store from an older copy, with what happens beside it.
type restore struct {
	ran     time.Duration // age of the fleet when the store goes away
	copyAge time.Duration // age of the copy then; at least ran: before the first record
	away    time.Duration
	killed  int // hosts that are killed while the store is away, and start at its return
	added   int // hosts that are added at its return
	loss    float64
}

var restoreAccounts = []configuration.Account{
	{ID: "a", Rate: 100, Burst: 200},
	{ID: "b", Rate: 100, Burst: 200},
}

// relistTime is how long after the return of the store hosts are listed again, because
// their entries are gone with their leases.
const relistTime = 1500 * time.Millisecond

// restoredFleet is a fleet under load that goes through a restore.
type restoredFleet struct {
	*fleettest.Fleet
	c          *qt.C
	returnedAt time.Duration
	ownedAt    map[model.SlotID]time.Duration // when a slot had an owner last, or the return
	unowned    time.Duration                  // longest time that a slot had no owner since the return
}

// runRestore runs a fleet through a restore and for 14 s after it. It checks that no slot
// has two owners at any time.
func runRestore(c *qt.C, hosts int, seed uint64, r restore) *restoredFleet {
	link := fleettest.LinkQuality{Loss: r.loss, MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond}
	f := &restoredFleet{
		c:       c,
		Fleet:   newFleet(seed, hosts, link, limitsSnapshot(1, 3, restoreAccounts)),
		ownedAt: make(map[model.SlotID]time.Duration),
	}
	l := newLoad(f.Fleet, seed, restoreAccounts)
	for i := range restoreAccounts {
		l.start(i, 2, time.Hour)
	}
	copied := f.Store.Copy()
	if r.copyAge < r.ran {
		f.run(r.ran - r.copyAge)
		copied = f.Store.Copy()
	}
	f.run(r.ran - f.Now)
	f.Store.Down = true
	random := rand.New(rand.NewPCG(seed, 3))
	killed := f.Options.Hosts[:r.killed]
	f.run(r.away / 2)
	for _, entry := range killed {
		f.Hosts[model.HostID(entry.ID)].Kill()
	}
	f.run(r.away - r.away/2)
	f.Store.Restore(copied)
	f.Store.Down = false
	f.returnedAt = f.Now
	for _, entry := range killed {
		f.Start(entry)
	}
	f.add(hosts, r.added)
	f.relist(random)
	f.run(14 * time.Second)
	return f
}

// add starts hosts that know only each other.
func (f *restoredFleet) add(hosts, n int) {
	added := entryHosts(hosts+n, 3)[hosts:]
	f.Options.Hosts = append(f.Options.Hosts, added...)
	for _, entry := range added {
		f.Start(entry).Post(event.HostListRead{Entries: added})
	}
}

// relist removes all hosts from the list, and lists each again at a random time.
func (f *restoredFleet) relist(random *rand.Rand) {
	for _, entry := range f.Options.Hosts {
		h := f.Hosts[model.HostID(entry.ID)]
		h.Post(event.HostListRead{Entries: []model.HostEntry{entry}})
		f.After(time.Duration(random.Int64N(int64(relistTime))), func() {
			h.Post(event.HostListRead{Entries: f.Options.Hosts})
		})
	}
}

// run advances the fleet and checks the owners along the way.
func (f *restoredFleet) run(d time.Duration) {
	for end := f.Now + d; f.Now < end; {
		f.Run(min(50*time.Millisecond, end-f.Now))
		for _, id := range f.Snapshot.Slots() {
			owners := f.owners(id)
			f.c.Assert(len(owners) <= 1, qt.IsTrue, qt.Commentf("at %v slot %v has the owners %v", f.Now, id, owners))
			if len(owners) == 1 || f.returnedAt == 0 {
				f.ownedAt[id] = f.Now
			}
			f.unowned = max(f.unowned, f.Now-max(f.ownedAt[id], f.returnedAt))
		}
	}
}

func (f *restoredFleet) owners(id model.SlotID) []model.HostRef {
	var owners []model.HostRef
	for _, entry := range f.Options.Hosts {
		h := f.Hosts[model.HostID(entry.ID)]
		if h != nil && h.Running() && decision.OwnsSlot(h.State, h.Now(), id) {
			owners = append(owners, h.Ref)
		}
	}
	return owners
}

// checkQuotas checks the accounts against the users' rule.
func (f *restoredFleet) checkQuotas() {
	for _, a := range restoreAccounts {
		most := mostInWindow(f.Fleet, a.ID)
		f.c.Check(most <= quotaOf(a), qt.IsTrue, qt.Commentf("%s: %d requests within %v, %d are allowed", a.ID, most, quotaWindow, quotaOf(a)))
	}
}

// servedShare returns the requests of an account that were forwarded in the last part of
// the run, as a share of those that its rate allows.
func (f *restoredFleet) servedShare(a configuration.Account, last time.Duration) float64 {
	served := 0
	for _, w := range f.Written {
		if w.Account == a.ID && w.At >= f.Now-last {
			served++
		}
	}
	return float64(served) / (a.Rate * last.Seconds())
}

// TestRestoreKeepsOwners guards against two owners of a slot after the store came back from
// an older copy, and against a slot whose owner cannot renew any more and that nobody
// claims, so that its accounts are refused for good.
func TestRestoreKeepsOwners(t *testing.T) {
	const (
		second = time.Second
		// few is how long accounts may be refused after a restore alone, and lost the time
		// for a claim of the slot of an owner that is lost.
		few  = 3 * second
		lost = 11 * second
	)
	tests := []struct {
		name    string
		restore restore
		unowned time.Duration // most after the return of the store
	}{
		{"no records in the copy", restore{ran: 3 * second, copyAge: 3 * second, away: second}, few},
		{"older records in the copy", restore{ran: 8 * second, copyAge: 4 * second, away: second}, few},
		{"hosts added", restore{ran: 3 * second, copyAge: 3 * second, away: second, added: 2}, few},
		{"a host restarted", restore{ran: 3 * second, copyAge: 3 * second, away: second, killed: 1}, lost},
		{"hosts added and restarted", restore{ran: 8 * second, copyAge: 8 * second, away: second, added: 2, killed: 1}, lost},
		{"a longer outage", restore{ran: 20 * second, copyAge: 20 * second, away: 6 * second, added: 2}, few},
		{"a longer outage of a new fleet", restore{ran: 2 * second, copyAge: 2 * second, away: 6 * second, added: 2}, lost},
		{"loss", restore{ran: 10 * second, copyAge: 5 * second, away: second, added: 2, killed: 1, loss: 0.2}, lost},
	}
	for _, test := range tests {
		for hosts, seeds := range fleetSizes() {
			t.Run(fmt.Sprintf("%s, %d hosts", test.name, hosts), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					f := runRestore(qt.New(t), hosts, seed, test.restore)
					f.c.Logf("seed %d: unowned for %v", seed, f.unowned)
					f.c.Check(f.unowned <= test.unowned, qt.IsTrue, qt.Commentf("seed %d: a slot has no owner for %v", seed, f.unowned))
					f.checkQuotas()
					for _, a := range restoreAccounts {
						share := f.servedShare(a, 2*second)
						f.c.Check(share >= 0.8, qt.IsTrue, qt.Commentf("seed %d: %s gets %.2f of its rate", seed, a.ID, share))
					}
				}
			})
		}
	}
}

// TestNewFleetServesAtOnce guards against a new fleet that waits before its slots have
// owners: no record was ever lost, so a missing one does not stand for a silent owner.
func TestNewFleetServesAtOnce(t *testing.T) {
	const first, all = 500 * time.Millisecond, time.Second
	for hosts, seeds := range fleetSizes() {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				c := qt.New(t)
				f := newFleet(seed, hosts, regionLink, limitsSnapshot(1, 3, restoreAccounts))
				newLoad(f, seed, restoreAccounts).start(0, 2, time.Hour)
				firstServed := timeUntil(c, f, func() bool { return len(f.Written) > 0 })
				allOwned := firstServed + timeUntil(c, f, func() bool { return len(vacantSlots(f)) == 0 })
				c.Logf("seed %d: first request after %v, all slots owned after %v", seed, firstServed, allOwned)
				c.Check(firstServed <= first, qt.IsTrue)
				c.Check(allOwned <= all, qt.IsTrue)
			}
		})
	}
}

func vacantSlots(f *fleettest.Fleet) []model.SlotID {
	return slices.DeleteFunc(f.Snapshot.Slots(), func(id model.SlotID) bool { return ownerOf(f, id) != nil })
}
