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

const fleetWallStart model.WallTime = 1_700_000_000_000

// filings sends filings to a fleet, each up to four times through random
// hosts, as callers do that retry.
type filings struct {
	fleet *fleettest.Fleet
	rand  *rand.Rand
	keys  map[model.RequestID]string
	sent  int
}

// TestFilingsRunOnce guards against a filing that runs twice, and against a
// refusal that says not-run of a request that was sent, while hosts are killed,
// paused past their leases and stopped, lines are cut and the store is out.
func TestFilingsRunOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := newFilings(seed)
			l.fleet.Run(20 * time.Second)
			l.fleet.After(0, l.next)
			l.fleet.After(time.Second, l.fault)
			l.fleet.Run(100 * time.Second)
			l.check(c)
		})
	}
}

func newFilings(seed uint64) *filings {
	snapshot := limitsSnapshot(1, 3, []configuration.Account{{ID: "station", Rate: 1000, Burst: 1000}})
	snapshot.AddRoute(&configuration.Route{
		ID: "returns", Path: "/returns", Service: "lookup", Class: model.Mutation, Timeout: 2 * time.Second,
	})
	return &filings{
		fleet: newFleet(seed, 6, regionLine, snapshot),
		rand:  rand.New(rand.NewPCG(seed, 11)),
		keys:  make(map[model.RequestID]string),
	}
}

// next sends a new filing and plans its retries.
func (l *filings) next() {
	l.sent++
	ms := uint64(fleetWallStart.Add(l.fleet.Now))
	key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, l.sent)
	delay := time.Duration(0)
	for range 1 + l.rand.IntN(4) {
		l.fleet.After(delay, func() { l.send(key) })
		delay += l.upTo(8 * time.Second)
	}
	l.fleet.After(l.upTo(100*time.Millisecond), l.next)
}

func (l *filings) send(key string) {
	id := l.fleet.Request(l.host(), event.RequestArrived{
		HasKey: true, Key: accountKey(0), Method: "POST", Path: "/returns", IdempotencyKey: key,
	})
	l.keys[id] = key
}

func (l *filings) host() model.HostID {
	hosts := l.fleet.Options.Hosts
	return model.HostID(hosts[l.rand.IntN(len(hosts))].ID)
}

func (l *filings) upTo(d time.Duration) time.Duration {
	return time.Duration(l.rand.Int64N(int64(d)))
}

// fault does one bad thing, undoes it later and plans the next.
func (l *filings) fault() {
	f := l.fleet
	h := f.Hosts[l.host()]
	lasts := 2*time.Second + l.upTo(15*time.Second)
	switch l.rand.IntN(5) {
	case 0:
		h.Kill()
		f.After(lasts, func() { l.restart(h) })
	case 1:
		h.Pause()
		f.After(lasts, h.Resume)
	case 2:
		if h.Serving() {
			h.Stop()
			f.After(lasts+25*time.Second, func() { l.restart(h) })
		}
	case 3:
		f.Store.Down = true
		f.After(lasts, func() { f.Store.Down = false })
	case 4:
		line := fleettest.Direction{From: l.host(), To: l.host()}
		f.Cut[line] = true
		f.After(lasts, func() { delete(f.Cut, line) })
	}
	f.After(l.upTo(10*time.Second), l.fault)
}

// restart starts the next life of a host unless it has one.
func (l *filings) restart(h *fleettest.Host) {
	if l.fleet.Hosts[h.Ref.ID] == h {
		h.Kill()
		l.fleet.Start(h.Entry)
	}
}

func (l *filings) check(c *qt.C) {
	runs := make(map[string]int)
	written := make(map[model.RequestID]bool)
	for _, w := range l.fleet.Written {
		runs[l.keys[w.Request]]++
		written[w.Request] = true
	}
	for key, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("filing %s", key))
	}
	for _, o := range l.fleet.Outcomes {
		isFalse := o.Verdict == model.NotRun && written[o.Request]
		c.Check(isFalse, qt.IsFalse, qt.Commentf("request %d was told not-run", o.Request))
	}
	c.Logf("%d filings, %d ran", l.sent, len(runs))
	c.Check(2*len(runs) > l.sent, qt.IsTrue, qt.Commentf("most filings run"))
}
