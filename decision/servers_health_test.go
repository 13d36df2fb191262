package decision

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// detect runs a fleet in which one server starts to fail a third of its work
// after 20 s, and returns the times from its first failure until the first and
// until the last host had it ejected.
func detect(t testing.TB, o simOptions) (first, all time.Duration) {
	m := newSim(t, o)
	bad := m.servers[3]
	bad.fails = m.failing(1.0/3, 20*time.Second)
	m.run(20 * time.Second)
	for m.inForce(bad.id) < len(m.hosts) && m.now < model.Instant(60*time.Second) {
		m.run(time.Duration(m.now) + 5*time.Millisecond)
		if first == 0 && m.inForce(bad.id) > 0 {
			first = m.now.Sub(m.firstFailure)
		}
	}
	return first, m.now.Sub(m.firstFailure)
}

// TestGrayServerIsEjected guards against a server that fails a third of its
// work and stays in use for longer than the target of 2 s.
func TestGrayServerIsEjected(t *testing.T) {
	var times []time.Duration
	for seed := range uint64(20) {
		_, all := detect(t, simOptions{seed: seed})
		times = append(times, all)
	}
	slices.Sort(times)
	t.Logf("ejected at all hosts: median %v, longest %v", times[len(times)/2], times[len(times)-1])
	qt.Check(t, times[len(times)-1] <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", times))
}
