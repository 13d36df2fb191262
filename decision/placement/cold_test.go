package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

var testColdLimit = ColdLimit{Rate: 6.9, Overshoot: 1.5, Slack: 8}

func testHosts(n int) []model.HostID {
	var hosts []model.HostID
	for i := range n {
		hosts = append(hosts, model.HostID(fmt.Sprintf("host-%d", i)))
	}
	return hosts
}

// coldPool returns a pool of which the first servers are cold at the given time, for
// 3 s.
func coldPool(now model.Instant, cold, warm int, sets *HostSets) *Pool {
	p := NewPool()
	var members []Member
	for i := range cold + warm {
		m := Member{ID: model.ServerID(fmt.Sprintf("10.0.0.%d:80", i)), ColdSince: model.Never}
		if i < cold {
			m.ColdSince, m.ColdFor = now, 3*time.Second
		}
		members = append(members, m)
	}
	p.Configure(now, Limits{Hosts: 1, Slots: 6, Floor: 0.5, Cold: testColdLimit, HostSets: sets, ColdRamp: 3 * time.Second}, members)
	return p
}

// TestSharesAddUp guards against shares of the hosts that exceed the budget together,
// or leave most of it unused, with more and with fewer hosts than requests.
func TestSharesAddUp(t *testing.T) {
	for _, hosts := range []int{1, 3, 12, 13, 14, 24, 100, 450} {
		for server := range 20 {
			id := model.ServerID(fmt.Sprintf("10.0.0.%d:80", server))
			total := 0
			for _, self := range testHosts(hosts) {
				sets := NewHostSets(self, 2*time.Second)
				sets.SetFrozen(true)
				sets.Set(0, testHosts(hosts))
				total += sets.share(instant(5*time.Second), id, testColdLimit.shares()).quota
			}
			qt.Check(t, total, qt.Equals, 13, qt.Commentf("%d hosts", hosts))
		}
	}
}

// TestSharesWhileListsDiffer guards against more senders than shares while a change of
// 40 % of the hosts reaches each host at another time: new senders begin only when
// all hosts know the new list.
func TestSharesWhileListsDiffer(t *testing.T) {
	c := qt.New(t)
	const settle = 2 * time.Second
	rnd := rand.New(rand.NewPCG(1, 1))
	before, after := testHosts(100), testHosts(160)[60:]
	sets := make(map[model.HostID]*HostSets)
	learnsAt := make(map[model.HostID]time.Duration)
	for _, id := range testHosts(160) {
		sets[id] = NewHostSets(id, settle)
		sets[id].SetFrozen(true)
		sets[id].Set(0, before)
		learnsAt[id] = 10*time.Second + time.Duration(rnd.Int64N(int64(settle)))
	}
	for now := 9 * time.Second; now < 16*time.Second; now += 50 * time.Millisecond {
		total := 0
		for id, s := range sets {
			if now >= learnsAt[id] {
				s.Set(instant(learnsAt[id]), after)
			}
			total += s.share(instant(now), "10.0.0.1:80", 13).quota
		}
		c.Check(total <= 13, qt.IsTrue, qt.Commentf("%d shares in use at %v", total, now))
		isSettled := now < 10*time.Second || now >= 10*time.Second+2*settle
		c.Check(total == 13 || !isSettled, qt.IsTrue, qt.Commentf("%d shares in use at %v", total, now))
	}
}

// TestColdLimitShares guards against a budget that the shares exceed, and against a
// sustained rate above the tolerated one.
func TestColdLimitShares(t *testing.T) {
	for _, tc := range []struct {
		limit    ColdLimit
		shares   int
		interval time.Duration
	}{
		{testColdLimit, 13, 1256 * time.Millisecond},
		{ColdLimit{Rate: 0.9, Overshoot: 1}, 0, coldWindow},
		{ColdLimit{Rate: 1, Overshoot: 1}, 1, coldWindow},
		{ColdLimit{Rate: 2, Overshoot: 1}, 1, coldWindow},
		{ColdLimit{Rate: 4, Overshoot: 1}, 3, coldWindow},
		{ColdLimit{Rate: 1, Overshoot: 1, Slack: 9}, 7, 7 * time.Second},
	} {
		qt.Check(t, tc.limit.shares(), qt.Equals, tc.shares)
		qt.Check(t, tc.limit.interval().Round(time.Millisecond), qt.Equals, tc.interval)
	}
}

// TestEachWayOfSendingPassesTheGate guards against a request to a cold server that
// another rule lets through: a repeated one, a hedged one, a trial, a probe for the
// floor, or one that finds all warm servers busy.
func TestEachWayOfSendingPassesTheGate(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	now := instant(time.Minute)
	for name, prepare := range map[string]func(p *Pool) PickInfo{
		"first attempt": func(*Pool) PickInfo { return PickInfo{IsRepeatable: true} },
		"retry":         func(p *Pool) PickInfo { return PickInfo{Tried: []model.ServerID{p.subset[1].ID}} },
		"hedged":        func(p *Pool) PickInfo { return PickInfo{Working: []model.ServerID{p.subset[1].ID}} },
		"trial": func(p *Pool) PickInfo {
			p.subset[0].Trial = true
			return PickInfo{}
		},
		"probe": func(p *Pool) PickInfo {
			for range 3 {
				p.Observe(now.Add(-4*time.Second), p.subset[0].ID, model.SignalBroken, true)
			}
			p.ObserveRemoteUnserved(now, 1000)
			return PickInfo{IsRepeatable: true}
		},
		"others busy": func(p *Pool) PickInfo {
			p.RecordLoad(now, p.subset[1].ID, 60, 6)
			return PickInfo{}
		},
	} {
		p := coldPool(now, 1, 1, nil)
		info := prepare(p)
		cold := p.subset[0].ID
		sent := 0
		for range 300 {
			id, ok := p.Acquire(now, rnd, info)
			if ok && id == cold {
				sent++
			}
			if ok {
				p.Release(id, 0)
			}
			now = now.Add(time.Millisecond)
		}
		// In 0.3 s a host that is alone may use 13 shares, one each 97 ms.
		qt.Check(t, sent <= 4, qt.IsTrue, qt.Commentf("%s: %d requests in 0.3 s", name, sent))
		now = now.Add(time.Minute)
	}
}

// TestWarmServersTakeTheRest guards against a refusal, and against waiting, while a
// server is warm.
func TestWarmServersTakeTheRest(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	p := coldPool(instant(time.Minute), 9, 1, nil)
	for i := range 1000 {
		now := instant(time.Minute + time.Duration(i)*100*time.Microsecond)
		c.Assert(p.RefuseCold(now, rnd, 5, nil), qt.Equals, time.Duration(0))
		id, ok := p.Acquire(now, rnd, PickInfo{})
		c.Assert(ok, qt.IsTrue)
		p.Release(id, 0)
	}
}

// TestReturnTimes guards against callers that come back in one wave, against ones that
// are told a time at which there is no capacity, and against less urgent requests
// that come back first.
func TestReturnTimes(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(3, 1))
	start := instant(time.Minute)
	p := coldPool(start, 4, 0, nil)
	rate := 4 * 13 / testColdLimit.interval().Seconds()
	waits := make(map[int][]time.Duration)
	for i := range 400 {
		priority := []int{5, 0, 1}[i%3]
		wait := p.RefuseCold(start, rnd, priority, nil)
		if wait == 0 {
			_, ok := p.Acquire(start, rnd, PickInfo{})
			c.Assert(ok, qt.IsTrue)
			continue
		}
		waits[priority] = append(waits[priority], wait)
	}
	var all []time.Duration
	for _, w := range waits {
		all = append(all, w...)
	}
	slices.Sort(all)
	perTenth := make(map[int]int)
	for _, w := range all {
		perTenth[int(w/(100*time.Millisecond))]++
	}
	for tenth, n := range perTenth {
		limit := 3 * rate / 10 // the first request of a priority does not know of the later ones of others
		if tenth >= 30 {
			limit = 0.15 * float64(len(all)) // spread over cold_ramp, 3 s
		}
		c.Check(float64(n) <= limit+3, qt.IsTrue, qt.Commentf("%d return in tenth %d of a second", n, tenth))
	}
	mean := func(waits []time.Duration) time.Duration {
		sum := time.Duration(0)
		for _, w := range waits {
			sum += w
		}
		return sum / time.Duration(len(waits))
	}
	c.Check(mean(waits[0]) < mean(waits[1]), qt.IsTrue, qt.Commentf("%v, %v", mean(waits[0]), mean(waits[1])))
	c.Check(mean(waits[1]) < mean(waits[5]), qt.IsTrue, qt.Commentf("%v, %v", mean(waits[1]), mean(waits[5])))
	c.Check(all[len(all)-1] <= 6*time.Second+time.Millisecond, qt.IsTrue)
}

// TestUrgentRequestsGoFirst guards against less urgent requests that take all shares
// while more urgent ones come back for them, and against a share that is kept for
// callers who do not come.
func TestUrgentRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(3, 1))
	start := instant(time.Minute)
	p := coldPool(start, 1, 0, nil)
	now := start
	_, ok := p.Acquire(now, rnd, PickInfo{})
	c.Assert(ok, qt.IsTrue)
	for range 5 {
		c.Assert(p.RefuseCold(now, rnd, 0, nil) > 0, qt.IsTrue)
	}
	now = now.Add(p.cold.spacing(13)) // a share is free
	c.Check(p.RefuseCold(now, rnd, 1, nil) > 0, qt.IsTrue)
	c.Check(p.RefuseCold(now, rnd, 0, nil), qt.Equals, time.Duration(0))
	now = now.Add(reservedTime)
	c.Check(p.RefuseCold(now, rnd, 1, nil), qt.Equals, time.Duration(0))
}

// TestFloorCountsCold guards against suspicion that leaves warm servers unused on the
// strength of cold ones, which get few requests.
func TestFloorCountsCold(t *testing.T) {
	now := instant(time.Minute)
	neededWith := make(map[int]int) // by the number of cold servers
	for _, cold := range []int{0, 4} {
		p := coldPool(now, cold, 10-cold, nil)
		for i, s := range p.subset[6:] {
			age := time.Duration(4+2*i) * time.Second
			for range 3 {
				p.Observe(now.Add(-age), s.ID, model.SignalBroken, true)
			}
		}
		p.floor.update(now, p.subset, &p.limits, false)
		for _, s := range p.subset[6:] {
			if p.floor.needs(now, s) {
				neededWith[cold]++
			}
		}
	}
	qt.Check(t, neededWith[4], qt.Equals, 4)
	qt.Check(t, neededWith[0] < 4, qt.IsTrue, qt.Commentf("%d", neededWith[0]))
}

// TestNoShareUntilSettled guards against a process that uses its share although the
// one before it has just done so, or although its list is old: after a pause, or cut
// off from those who have a newer one. In an outage of the store for all no host has.
func TestNoShareUntilSettled(t *testing.T) {
	c := qt.New(t)
	const settle = 2 * time.Second
	sets := NewHostSets("host-0", settle)
	quota := func(at time.Duration) int { return sets.share(instant(at), "10.0.0.1:80", 13).quota }
	c.Check(quota(time.Hour), qt.Equals, 0) // without a list
	sets.Set(instant(time.Hour), testHosts(3))
	sets.Confirm(instant(time.Hour + time.Second))
	c.Check(quota(time.Hour+settle-1), qt.Equals, 0)
	c.Check(quota(time.Hour+settle) >= 4, qt.IsTrue)
	c.Check(quota(time.Hour+time.Second+settle-1) >= 4, qt.IsTrue)
	c.Check(quota(time.Hour+time.Second+settle), qt.Equals, 0)
	sets.SetFrozen(true)
	c.Check(quota(time.Hour+time.Minute) >= 4, qt.IsTrue)
	sets.Unsettle(instant(2 * time.Hour))
	c.Check(quota(2*time.Hour+settle-1), qt.Equals, 0)
	c.Check(quota(2*time.Hour+settle) >= 4, qt.IsTrue)
	sets.Set(instant(3*time.Hour), testHosts(4)[1:])
	c.Check(quota(4*time.Hour), qt.Equals, 0) // the other hosts do not count this one
}

// TestSettleTimeMayChange guards against a host that waits for the settle time of a
// large fleet, because its list came before the configuration.
func TestSettleTimeMayChange(t *testing.T) {
	sets := NewHostSets("host-0", 12*time.Second)
	sets.Set(instant(time.Hour), testHosts(3))
	sets.SetFrozen(true)
	sets.SetSettle(2 * time.Second)
	got := sets.share(instant(time.Hour+2*time.Second), "10.0.0.1:80", 13)
	qt.Check(t, got.quota >= 4, qt.IsTrue)
}

// TestWarmRequestsCount guards against a share that is used right after any number of
// requests that were sent while the server counted as warm.
func TestWarmRequestsCount(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	start := instant(time.Minute)
	p := coldPool(start, 0, 1, nil)
	for range 50 {
		_, ok := p.Acquire(start, rnd, PickInfo{})
		c.Assert(ok, qt.IsTrue)
	}
	member := p.subset[0].Member
	member.ColdSince, member.ColdFor = start.Add(time.Millisecond), 3*time.Second
	p.Configure(start.Add(time.Millisecond), p.limits, []Member{member})
	_, ok := p.Acquire(start.Add(coldWindow-1), rnd, PickInfo{})
	c.Check(ok, qt.IsFalse)
	_, ok = p.Acquire(start.Add(coldWindow), rnd, PickInfo{})
	c.Check(ok, qt.IsTrue)
}
