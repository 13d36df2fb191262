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

// changeLag is how long a change of limits takes to reach every host in these
// tests.
const changeLag = 3 * time.Second

// faultyFleet is a fleet under load into which faults are injected.
type faultyFleet struct {
	*rapid.T
	fleet    *fleettest.Fleet
	domains  int
	accounts []configuration.Account
	changes  []limitChange
	version  uint64
	copied   fleettest.StoreCopy // of the store, some time ago
}

// limitChange is a change of the accounts' limits.
type limitChange struct {
	at       time.Duration
	accounts []configuration.Account
}

func newFaultyFleet(t *rapid.T) *faultyFleet {
	d := &faultyFleet{T: t, domains: rapid.IntRange(2, 4).Draw(t, "domains"), version: 1}
	d.accounts = []configuration.Account{
		{ID: "small", Rate: 3, Burst: 2},
		{ID: "middle", Rate: 20, Burst: 9},
		{ID: "large", Rate: 40, Burst: 30},
		{ID: "reserve", Rate: 0.5, Burst: 40},
	}
	d.changes = []limitChange{{0, d.accounts}}
	link := fleettest.LinkQuality{
		Loss:     rapid.Float64Range(0, 0.2).Draw(t, "loss"),
		Repeat:   rapid.Float64Range(0, 0.2).Draw(t, "repeat"),
		MaxDelay: rapid.SampledFrom([]time.Duration{5, 20, 400, 3000}).Draw(t, "delay") * time.Millisecond,
	}
	hosts := rapid.IntRange(3, 5).Draw(t, "hosts")
	d.fleet = newFleet(rapid.Uint64().Draw(t, "seed"), hosts, link, limitsSnapshot(1, d.domains, d.accounts))
	return d
}

func (d *faultyFleet) pick(label string) *fleettest.Host {
	entry := rapid.SampledFrom(d.fleet.Options.Hosts).Draw(d.T, label)
	return d.fleet.Hosts[model.HostID(entry.ID)]
}

func (d *faultyFleet) replace() {
	h := d.pick("replaced")
	h.Kill()
	d.fleet.After(d.wait("down"), func() {
		if !d.fleet.Hosts[h.Ref.ID].Alive() {
			d.fleet.Start(h.Entry)
		}
	})
}

func (d *faultyFleet) pause() {
	h := d.pick("paused")
	h.Pause()
	d.fleet.After(d.wait("pause"), h.Resume)
}

func (d *faultyFleet) stop() {
	h := d.pick("stopped")
	h.Stop()
	d.fleet.After(30*time.Second, func() {
		if d.fleet.Hosts[h.Ref.ID] == h {
			h.Kill()
			d.fleet.Start(h.Entry)
		}
	})
}

func (d *faultyFleet) cut() {
	from, to := d.pick("from"), d.pick("to")
	d.cutLinks([]fleettest.Direction{{From: from.Ref.ID, To: to.Ref.ID}})
}

// cutOff cuts a host off from all others, in one direction or both.
func (d *faultyFleet) cutOff() {
	h := d.pick("cut off")
	both := rapid.Bool().Draw(d.T, "both")
	var cut []fleettest.Direction
	for id := range d.fleet.Hosts {
		cut = append(cut, fleettest.Direction{From: h.Ref.ID, To: id})
		if both {
			cut = append(cut, fleettest.Direction{From: id, To: h.Ref.ID})
		}
	}
	d.cutLinks(cut)
}

// cutLinks cuts links for a time.
func (d *faultyFleet) cutLinks(cut []fleettest.Direction) {
	for _, direction := range cut {
		d.fleet.Partitioned[direction] = true
	}
	d.fleet.After(d.wait("cut for"), func() {
		for _, direction := range cut {
			delete(d.fleet.Partitioned, direction)
		}
	})
}

func (d *faultyFleet) storeDown() {
	d.fleet.Store.Down = true
	d.fleet.After(d.wait("outage"), func() { d.fleet.Store.Down = false })
}

func (d *faultyFleet) storeUnreachable() {
	h := d.pick("unreachable")
	d.fleet.Store.Unreachable[h.Ref.ID] = true
	d.fleet.After(d.wait("unreachable"), func() { delete(d.fleet.Store.Unreachable, h.Ref.ID) })
}

// storeReachedByOne makes the store unreachable for all hosts but one, and
// cuts the links between it and some other host, in one direction or both.
func (d *faultyFleet) storeReachedByOne() {
	one, other := d.pick("one"), d.pick("other")
	cut := []fleettest.Direction{
		{From: one.Ref.ID, To: other.Ref.ID},
		{From: other.Ref.ID, To: one.Ref.ID},
	}
	d.cutLinks(cut[rapid.IntRange(0, 1).Draw(d.T, "cut"):])
	for id := range d.fleet.Hosts {
		d.fleet.Store.Unreachable[id] = id != one.Ref.ID
	}
	d.fleet.After(d.wait("reached by one"), func() { clear(d.fleet.Store.Unreachable) })
}

func (d *faultyFleet) loseAnswers() {
	d.fleet.Store.LostAnswers = rapid.Float64Range(0, 0.6).Draw(d.T, "lost answers")
}

// restore makes the store come back from the last copy, after an outage of up to a few
// seconds, and takes the next copy later.
func (d *faultyFleet) restore() {
	d.fleet.Store.Down = true
	away := time.Duration(rapid.IntRange(0, 6000).Draw(d.T, "away")) * time.Millisecond
	d.fleet.After(away, func() {
		d.fleet.Store.Restore(d.copied)
		d.fleet.Store.Down = false
	})
}

// copyStore copies the store in a drawn time.
func (d *faultyFleet) copyStore() {
	d.fleet.After(d.wait("copied in"), func() { d.copied = d.fleet.Store.Copy() })
}

// changeLimits changes rates, and those bursts that are large enough to keep
// their number of shares.
func (d *faultyFleet) changeLimits() {
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
	d.changes = append(d.changes, limitChange{d.fleet.Now, changed})
	d.fleet.SetSnapshot(limitsSnapshot(d.version, d.domains, changed), changeLag)
}

func (d *faultyFleet) wait(label string) time.Duration {
	return time.Duration(rapid.IntRange(100, 25_000).Draw(d.T, label)) * time.Millisecond
}

// checkOwners fails if a slot has two owners at the same time.
func (d *faultyFleet) checkOwners() {
	for _, id := range d.fleet.Snapshot.Slots() {
		var owners []model.HostRef
		for _, h := range d.fleet.Hosts {
			if h.Running() && decision.OwnsSlot(h.State, h.Now(), id) {
				owners = append(owners, h.Ref)
			}
		}
		if len(owners) > 1 {
			d.Fatalf("%v: slot %v has several owners: %v", d.fleet.Now, id, owners)
		}
	}
}

// run advances the fleet and checks the owners along the way.
func (d *faultyFleet) run(t time.Duration) {
	end := d.fleet.Now + t
	for d.fleet.Now < end {
		d.fleet.Run(50 * time.Millisecond)
		d.checkOwners()
	}
}

// checkBounds checks every account's limit. While a change propagates, and as
// long as earlier grants stay valid after it, the higher limit counts.
func (d *faultyFleet) checkBounds() {
	for i, a := range d.accounts {
		checker := newLimitChecker(a.Rate, a.Burst)
		for _, s := range d.fleet.Admitted {
			if s.Account != a.ID {
				continue
			}
			rate, burst := d.limitAt(i, s.At)
			checker.level += max(0, burst-checker.burst)
			checker.rate, checker.burst = max(rate, checker.rateUntil(d, i, s.At)), burst
			if !checker.allow(s.At) {
				d.Fatalf("account %s exceeds its limit at %v on %s", a.ID, s.At, s.Host)
			}
		}
	}
}

// rateUntil returns the highest rate since the checker's last request.
func (l *limitChecker) rateUntil(d *faultyFleet, account int, at time.Duration) float64 {
	rate, _ := d.limitAt(account, l.at)
	for _, c := range d.changes {
		if c.at > l.at && c.at <= at {
			rate = max(rate, c.accounts[account].Rate)
		}
	}
	return rate
}

func (d *faultyFleet) limitAt(account int, at time.Duration) (rate, burst float64) {
	// After this time every host has the change, and earlier grants have expired.
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
// and burst summed over all hosts, and against two owners of a slot at once.
// Faults occur in any combination: lost, late, repeated and reordered
// messages, killed, restarted, paused and stopped hosts, one-way cuts, store
// outages, lost store answers, restores of the store from older copies and changes of
// the limits.
func TestLimitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newFaultyFleet(t)
		overload := rapid.Float64Range(0.5, 4).Draw(t, "overload")
		l := newLoad(d.fleet, 1, d.accounts)
		steps := rapid.IntRange(3, 12).Draw(t, "steps")
		for i, a := range d.accounts {
			l.start(i, max(overload, 5/a.Rate), time.Hour)
		}
		d.copied = d.fleet.Store.Copy()
		d.run(5 * time.Second)
		actions := map[string]func(){
			"replace": d.replace, "pause": d.pause, "stop": d.stop, "cut": d.cut, "cutOff": d.cutOff,
			"storeDown": d.storeDown, "storeUnreachable": d.storeUnreachable,
			"storeReachedByOne": d.storeReachedByOne,
			"loseAnswers":       d.loseAnswers, "changeLimits": d.changeLimits,
			"restore": d.restore, "copyStore": d.copyStore,
		}
		names := sortedNames(actions)
		for i := range steps {
			actions[rapid.SampledFrom(names).Draw(t, fmt.Sprintf("fault %d", i))]()
			d.run(time.Duration(rapid.IntRange(10, 12_000).Draw(t, "then")) * time.Millisecond)
		}
		d.run(10 * time.Second)
		d.checkBounds()
	})
}

func sortedNames(m map[string]func()) []string {
	return slices.Sorted(maps.Keys(m))
}
