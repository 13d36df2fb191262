package decision_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// fleetWallStart is the wall-clock time at the start of each fleet of fleettest.
// The idempotency keys contain the time at which they were made.
const fleetWallStart model.WallTime = 1_700_000_000_000

// mutationLoad sends requests with idempotency keys to a fleet, each up to
// four times through random hosts, as callers do that retry.
type mutationLoad struct {
	fleet *fleettest.Fleet
	rand  *rand.Rand
	keys  map[model.RequestID]string
	sent  int
}

// TestFilingsRunOnce guards against a request that runs twice, and against a
// not-run verdict for a request that was sent, while hosts are killed, paused
// past their leases and stopped, links are cut and the store is down.
func TestFilingsRunOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := newMutationLoad(seed)
			l.fleet.Run(20 * time.Second)
			l.fleet.After(0, l.sendNext)
			l.fleet.After(time.Second, l.injectFault)
			l.fleet.Run(100 * time.Second)
			l.check(c)
		})
	}
}

func newMutationLoad(seed uint64) *mutationLoad {
	snapshot := limitsSnapshot(1, 3, []configuration.Account{{ID: "station", Rate: 1000, Burst: 1000}})
	snapshot.AddRoute(&configuration.Route{
		ID: "returns", Path: "/returns", Service: "lookup", Class: model.Mutation, Timeout: 2 * time.Second,
	})
	return &mutationLoad{
		fleet: newFleet(seed, 6, regionLink, snapshot),
		rand:  rand.New(rand.NewPCG(seed, 11)),
		keys:  make(map[model.RequestID]string),
	}
}

// sendNext sends a new request and schedules its retries.
func (l *mutationLoad) sendNext() {
	l.sent++
	ms := uint64(fleetWallStart.Add(l.fleet.Now))
	key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, l.sent)
	delay := time.Duration(0)
	for range 1 + l.rand.IntN(4) {
		l.fleet.After(delay, func() { l.send(key) })
		delay += l.randomUpTo(8 * time.Second)
	}
	l.fleet.After(l.randomUpTo(100*time.Millisecond), l.sendNext)
}

func (l *mutationLoad) send(key string) {
	id := l.fleet.Request(l.host(), event.RequestArrived{
		HasKey: true, Key: accountKey(0), Method: "POST", Path: "/returns", IdempotencyKey: key,
	})
	l.keys[id] = key
}

func (l *mutationLoad) host() model.HostID {
	hosts := l.fleet.Options.Hosts
	return model.HostID(hosts[l.rand.IntN(len(hosts))].ID)
}

func (l *mutationLoad) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(l.rand.Int64N(int64(d)))
}

// injectFault injects a random fault, ends it later and schedules the next.
func (l *mutationLoad) injectFault() {
	f := l.fleet
	h := f.Hosts[l.host()]
	duration := 2*time.Second + l.randomUpTo(15*time.Second)
	switch l.rand.IntN(5) {
	case 0:
		h.Kill()
		f.After(duration, func() { l.restart(h) })
	case 1:
		h.Pause()
		f.After(duration, h.Resume)
	case 2:
		if h.Serving() {
			h.Stop()
			f.After(duration+25*time.Second, func() { l.restart(h) })
		}
	case 3:
		f.Store.Down = true
		f.After(duration, func() { f.Store.Down = false })
	case 4:
		direction := fleettest.Direction{From: l.host(), To: l.host()}
		f.Partitioned[direction] = true
		f.After(duration, func() { delete(f.Partitioned, direction) })
	}
	f.After(l.randomUpTo(10*time.Second), l.injectFault)
}

// restart kills a host and starts it again, unless that has already happened.
func (l *mutationLoad) restart(h *fleettest.Host) {
	if l.fleet.Hosts[h.Ref.ID] == h {
		h.Kill()
		l.fleet.Start(h.Entry)
	}
}

func (l *mutationLoad) check(c *qt.C) {
	runs := make(map[string]int)
	written := make(map[model.RequestID]bool)
	for _, w := range l.fleet.Written {
		runs[l.keys[w.Request]]++
		written[w.Request] = true
	}
	for key, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("idempotency key %s", key))
	}
	for _, o := range l.fleet.Outcomes {
		isFalseVerdict := o.Verdict == model.NotRun && written[o.Request]
		c.Check(isFalseVerdict, qt.IsFalse, qt.Commentf("request %d was told not-run", o.Request))
	}
	c.Logf("%d requests, %d ran", l.sent, len(runs))
	c.Check(2*len(runs) > l.sent, qt.IsTrue, qt.Commentf("at most half of the requests ran"))
}
