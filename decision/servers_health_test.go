package decision

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// detectionTime runs a fleet in which one server starts to fail a third of its
// requests after 20 s, and returns the time from its first failure until the
// last host had it ejected.
func detectionTime(t testing.TB, o simOptions) time.Duration {
	m := newSim(t, o)
	bad := m.servers[3]
	bad.fails = m.failing(1.0/3, 20*time.Second)
	m.run(20 * time.Second)
	for m.countEjecting(bad.id) < len(m.hosts) && m.now < model.Instant(60*time.Second) {
		m.run(time.Duration(m.now) + 5*time.Millisecond)
	}
	return m.now.Sub(m.firstFailure)
}

// TestGrayServerIsEjected guards against a server that fails a third of its
// requests and stays in use for longer than the target of 2 s.
func TestGrayServerIsEjected(t *testing.T) {
	for _, loss := range []float64{0, 0.05} {
		var times []time.Duration
		for seed := range uint64(15) {
			times = append(times, detectionTime(t, simOptions{seed: seed, loss: loss}))
		}
		slices.Sort(times)
		t.Logf("loss %v: ejected at all hosts after %v (median), %v (longest)", loss, times[7], times[14])
		qt.Check(t, times[14] <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", times))
	}
}

// TestNoFalseEjection guards against ejections for faults that no single
// server causes. Each case runs for a minute of virtual time after 10 s
// without faults.
func TestNoFalseEjection(t *testing.T) {
	const from, until = 10 * time.Second, 70 * time.Second
	cut := func(m *sim) {
		m.servers[3].losesAnswer = func(now model.Instant, h *simHost) bool {
			return now > model.Instant(from) && h.domain == 1
		}
	}
	everyServerFails := func(m *sim, share float64) {
		for _, s := range m.servers {
			s.fails = m.failing(share, from)
		}
	}
	tests := []struct {
		name  string
		fault func(*sim)
	}{
		{"none", func(*sim) {}},
		{"answers of one server do not reach one domain", cut},
		{"the same, and all servers fail 1 % of their work", func(m *sim) {
			cut(m)
			everyServerFails(m, 0.01)
		}},
		{"all servers fail 5 % of their work", func(m *sim) { everyServerFails(m, 0.05) }},
		{"all servers fail 30 % of their work", func(m *sim) { everyServerFails(m, 0.3) }},
		{"all servers are ten times slower", func(m *sim) {
			m.at(from, func() {
				for _, s := range m.servers {
					s.meanTime *= 10
				}
			})
		}},
		{"three times the load that the servers carry", func(m *sim) {
			m.at(from, func() { m.rate = 4500 })
			m.at(2*from, func() { m.rate = 200 })
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(4) {
				m := newSim(t, simOptions{seed: seed})
				test.fault(m)
				m.run(until)
				qt.Check(t, m.ejected, qt.HasLen, 0, qt.Commentf("seed %d", seed))
			}
		})
	}
}

// TestSlowServerIsEjected guards against a server that answers everything, but
// ten times slower than the others.
func TestSlowServerIsEjected(t *testing.T) {
	m := newSim(t, simOptions{seed: 1})
	m.at(20*time.Second, func() { m.servers[3].meanTime *= 10 })
	m.run(30 * time.Second)
	qt.Check(t, m.ejected, qt.Contains, model.ServerID("lookup "+m.servers[3].id))
}

// TestFlappingServer guards against a server that recovers repeatedly and gets
// its full share each time: its time in use has to shrink.
func TestFlappingServer(t *testing.T) {
	m := newSim(t, simOptions{seed: 1})
	bad := m.servers[3]
	bad.fails = func(now model.Instant, _ *simHost) bool {
		return now > model.Instant(20*time.Second) && now.Sub(0)/(3*time.Second)%2 == 0 && m.rand.IntN(3) > 0
	}
	m.run(260 * time.Second)
	failed := 0
	for _, o := range m.outcomes {
		if o.Server == bad.id {
			failed++
		}
	}
	share := float64(failed) / float64(len(m.outcomes))
	t.Logf("%d ejections in 240 s; the server got %.1f %% of the requests", len(m.ejected), 100*share)
	qt.Check(t, len(m.ejected) <= 12, qt.IsTrue, qt.Commentf("%d ejections", len(m.ejected)))
}

// TestRecoveredServerReturns guards against a server that stays ejected after
// its fault has ended.
func TestRecoveredServerReturns(t *testing.T) {
	m := newSim(t, simOptions{seed: 2})
	bad := m.servers[3]
	failing := m.failing(1.0/3, 10*time.Second)
	bad.fails = func(now model.Instant, h *simHost) bool {
		return now < model.Instant(20*time.Second) && failing(now, h)
	}
	m.run(16 * time.Second)
	qt.Assert(t, m.countEjecting(bad.id), qt.Equals, len(m.hosts))
	m.run(60 * time.Second)
	qt.Assert(t, m.countEjecting(bad.id), qt.Equals, 0)
	before := bad.received
	m.run(70 * time.Second)
	qt.Check(t, bad.received-before > 100, qt.IsTrue, qt.Commentf("%d requests in 10 s", bad.received-before))
}

// TestPathFaultIsAvoidedLocally guards against a domain that keeps sending
// requests over a path on which the answers are lost.
func TestPathFaultIsAvoidedLocally(t *testing.T) {
	m := newSim(t, simOptions{seed: 4})
	m.servers[3].losesAnswer = func(now model.Instant, h *simHost) bool {
		return now > model.Instant(10*time.Second) && h.domain == 1
	}
	m.run(40 * time.Second)
	before := m.failures
	m.run(100 * time.Second)
	// Without avoidance: a tenth of a quarter of 200 requests a second.
	lost := float64(m.failures-before) / 60
	t.Logf("%.2f requests a second are lost, 5 without avoidance", lost)
	qt.Check(t, lost < 1, qt.IsTrue)
}

// TestCoordinatorChange guards against ejections that end with their
// coordinator, and against a new coordinator that cannot eject.
func TestCoordinatorChange(t *testing.T) {
	m := newSim(t, simOptions{seed: 6})
	bad := m.servers[3]
	bad.fails = m.failing(0.5, 10*time.Second)
	m.run(13 * time.Second)
	qt.Assert(t, m.countEjecting(bad.id), qt.Equals, len(m.hosts))
	m.owner, m.term = 7, m.term+1
	m.run(16 * time.Second)
	qt.Check(t, m.countEjecting(bad.id), qt.Equals, len(m.hosts))
	m.run(50 * time.Second)
	failures, requests := m.failures, len(m.outcomes)
	m.run(100 * time.Second)
	share := float64(m.failures-failures) / float64(len(m.outcomes)-requests)
	t.Logf("%.2f %% of the requests failed under the new coordinator, 5 %% without ejection", 100*share)
	qt.Check(t, share < 0.01, qt.IsTrue)
}
