package decision_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollensail.dev/decision"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// changeLag is how long a change of limits takes to be in force everywhere in
// these tests.
const changeLag = 3 * time.Second

// faults is a fleet under load to which faults happen.
type faults struct {
	*rapid.T
	fleet    *fleettest.Fleet
	domains  int
	accounts []configuration.Account
	changes  []change
	version  uint64
}

// change is a change of the accounts' limits.
type change struct {
	at       time.Duration
	accounts []configuration.Account
}

func newFaults(t *rapid.T) *faults {
	d := &faults{T: t, domains: rapid.IntRange(2, 4).Draw(t, "domains"), version: 1}
	d.accounts = []configuration.Account{
		{ID: "small", Rate: 3, Burst: 2},
		{ID: "middle", Rate: 20, Burst: 9},
		{ID: "large", Rate: 40, Burst: 30},
		{ID: "reserve", Rate: 0.5, Burst: 40},
	}
	d.changes = []change{{0, d.accounts}}
	line := fleettest.Line{
		Loss:     rapid.Float64Range(0, 0.2).Draw(t, "loss"),
		Repeat:   rapid.Float64Range(0, 0.2).Draw(t, "repeat"),
		MaxDelay: rapid.SampledFrom([]time.Duration{5, 20, 400, 3000}).Draw(t, "delay") * time.Millisecond,
	}
	hosts := rapid.IntRange(3, 5).Draw(t, "hosts")
	d.fleet = newFleet(rapid.Uint64().Draw(t, "seed"), hosts, line, limitsSnapshot(1, d.domains, d.accounts))
	return d
}

func (d *faults) pick(label string) *fleettest.Host {
	entry := rapid.SampledFrom(d.fleet.Options.Hosts).Draw(d.T, label)
	return d.fleet.Hosts[model.HostID(entry.ID)]
}

func (d *faults) replace() {
	h := d.pick("replaced")
	h.Kill()
	d.fleet.After(d.wait("down"), func() {
		if !d.fleet.Hosts[h.Ref.ID].Alive() {
			d.fleet.Start(h.Entry)
		}
	})
}

func (d *faults) pause() {
	h := d.pick("paused")
	h.Pause()
	d.fleet.After(d.wait("pause"), h.Resume)
}

func (d *faults) stop() {
	h := d.pick("stopped")
	h.Stop()
	d.fleet.After(30*time.Second, func() {
		if d.fleet.Hosts[h.Ref.ID] == h {
			h.Kill()
			d.fleet.Start(h.Entry)
		}
	})
}

func (d *faults) cut() {
	from, to := d.pick("from"), d.pick("to")
	d.cutLines([]fleettest.Direction{{From: from.Ref.ID, To: to.Ref.ID}})
}

// cutOff cuts a host off from all others, in one direction or both.
func (d *faults) cutOff() {
	h := d.pick("cut off")
	both := rapid.Bool().Draw(d.T, "both")
	var cut []fleettest.Direction
	for id := range d.fleet.Hosts {
		cut = append(cut, fleettest.Direction{From: h.Ref.ID, To: id})
		if both {
			cut = append(cut, fleettest.Direction{From: id, To: h.Ref.ID})
		}
	}
	d.cutLines(cut)
}

// cutLines cuts lines for a time.
func (d *faults) cutLines(cut []fleettest.Direction) {
	for _, direction := range cut {
		d.fleet.Cut[direction] = true
	}
	d.fleet.After(d.wait("cut for"), func() {
		for _, direction := range cut {
			delete(d.fleet.Cut, direction)
		}
	})
}

func (d *faults) storeDown() {
	d.fleet.Store.Down = true
	d.fleet.After(d.wait("outage"), func() { d.fleet.Store.Down = false })
}

func (d *faults) storeUnreachable() {
	h := d.pick("unreachable")
	d.fleet.Store.Unreachable[h.Ref.ID] = true
	d.fleet.After(d.wait("unreachable"), func() { delete(d.fleet.Store.Unreachable, h.Ref.ID) })
}

// storeReachedByOne leaves the store to one host, with bad lines between it and
// some other.
func (d *faults) storeReachedByOne() {
	one, other := d.pick("one"), d.pick("other")
	cut := []fleettest.Direction{
		{From: one.Ref.ID, To: other.Ref.ID},
		{From: other.Ref.ID, To: one.Ref.ID},
	}
	d.cutLines(cut[rapid.IntRange(0, 1).Draw(d.T, "cut"):])
	for id := range d.fleet.Hosts {
		d.fleet.Store.Unreachable[id] = id != one.Ref.ID
	}
	d.fleet.After(d.wait("reached by one"), func() { clear(d.fleet.Store.Unreachable) })
}

func (d *faults) loseAnswers() {
	d.fleet.Store.LostAnswers = rapid.Float64Range(0, 0.6).Draw(d.T, "lost answers")
}

// changeLimits changes rates, and bursts that keep the number of shares.
func (d *faults) changeLimits() {
	factor := rapid.Float64Range(0.3, 3).Draw(d.T, "factor")
	var changed []configuration.Account
	for _, a := range d.accounts {
		a.Rate *= factor
		if a.Burst > 4*d.domains {
			a.Burst = max(4*d.domains, int(float64(a.Burst)*factor))
		}
		changed = append(changed, a)
	}
	d.version++
	d.changes = append(d.changes, change{d.fleet.Now, changed})
	d.fleet.SetSnapshot(limitsSnapshot(d.version, d.domains, changed), changeLag)
}

func (d *faults) wait(label string) time.Duration {
	return time.Duration(rapid.IntRange(100, 25_000).Draw(d.T, label)) * time.Millisecond
}

// checkOwners fails where two hosts own a slot at once.
func (d *faults) checkOwners() {
	for _, id := range d.fleet.Snapshot.Slots() {
		var owners []model.HostRef
		for _, h := range d.fleet.Hosts {
			if h.Running() && decision.OwnsSlot(h.State, h.Now(), id) {
				owners = append(owners, h.Ref)
			}
		}
		if len(owners) > 1 {
			d.Fatalf("%v: slot %v has the owners %v", d.fleet.Now, id, owners)
		}
	}
}

// run lets time pass and watches the owners.
func (d *faults) run(t time.Duration) {
	end := d.fleet.Now + t
	for d.fleet.Now < end {
		d.fleet.Run(50 * time.Millisecond)
		d.checkOwners()
	}
}

// checkBounds checks every account's bound. While a change is on its way, and
// for as long as grants stay valid after, the higher limit counts.
func (d *faults) checkBounds() {
	for i, a := range d.accounts {
		w := newWindow(a.Rate, a.Burst)
		for _, s := range d.fleet.Admitted {
			if s.Account != a.ID {
				continue
			}
			rate, burst := d.limitAt(i, s.At)
			w.level += max(0, burst-w.burst)
			w.rate, w.burst = max(rate, w.rateUntil(d, i, s.At)), burst
			if !w.take(s.At) {
				d.Fatalf("account %s exceeds its limit at %v on %s", a.ID, s.At, s.Host)
			}
		}
	}
}

// rateUntil returns the highest rate since the window's last request.
func (w *window) rateUntil(d *faults, account int, at time.Duration) float64 {
	rate, _ := d.limitAt(account, w.at)
	for _, c := range d.changes {
		if c.at > w.at && c.at <= at {
			rate = max(rate, c.accounts[account].Rate)
		}
	}
	return rate
}

func (d *faults) limitAt(account int, at time.Duration) (rate, burst float64) {
	const settled = changeLag + 2*time.Second
	for i, c := range d.changes {
		isOver := i+1 < len(d.changes) && d.changes[i+1].at+settled < at
		if c.at <= at && !isOver {
			rate = max(rate, c.accounts[account].Rate)
			burst = max(burst, float64(c.accounts[account].Burst))
		}
	}
	return rate, burst
}

// TestLimitsHoldUnderFaults guards against any way to exceed an account's rate
// and burst summed over all hosts, and against two owners of a slot at once:
// lost, late, repeated and reordered messages, killed, restarted, paused and
// stopped hosts, one-way cuts, store outages, lost store answers and changes of
// the limits, in any combination.
func TestLimitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newFaults(t)
		overload := rapid.Float64Range(0.5, 4).Draw(t, "overload")
		l := newLoad(d.fleet, 1, d.accounts)
		steps := rapid.IntRange(3, 12).Draw(t, "steps")
		for i, a := range d.accounts {
			l.start(i, max(overload, 5/a.Rate), time.Hour)
		}
		d.run(5 * time.Second)
		happen := map[string]func(){
			"replace": d.replace, "pause": d.pause, "stop": d.stop, "cut": d.cut, "cutOff": d.cutOff,
			"storeDown": d.storeDown, "storeUnreachable": d.storeUnreachable,
			"storeReachedByOne": d.storeReachedByOne,
			"loseAnswers":       d.loseAnswers, "changeLimits": d.changeLimits,
		}
		names := sortedNames(happen)
		for i := range steps {
			happen[rapid.SampledFrom(names).Draw(t, fmt.Sprintf("fault %d", i))]()
			d.run(time.Duration(rapid.IntRange(10, 12_000).Draw(t, "then")) * time.Millisecond)
		}
		d.run(10 * time.Second)
		d.checkBounds()
	})
}

func sortedNames(m map[string]func()) []string {
	return slices.Sorted(maps.Keys(m))
}
