package decision

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// detector is a plain way for one host to judge one server by itself. It
// reports until when the server is out of use.
type detector interface {
	observe(now model.Instant, ok bool) (until model.Instant)
}

// breaker is the circuit breaker of the paper: open for 2 s after five
// failures in a row.
type breaker struct{ inRow int }

func (b *breaker) observe(now model.Instant, ok bool) model.Instant {
	if ok {
		b.inRow = 0
		return 0
	}
	b.inRow++
	if b.inRow < 5 {
		return 0
	}
	b.inRow = 0
	return now.Add(2 * time.Second)
}

// alone applies the coordinator's rule to the host's own attempts of the last
// minute: five failures, a fifth of the attempts. It ejects for 5 s, doubling.
type alone struct {
	attempts []aloneAttempt
	ejection time.Duration
}

type aloneAttempt struct {
	at model.Instant
	ok bool
}

func (a *alone) observe(now model.Instant, ok bool) model.Instant {
	a.attempts = append(a.attempts, aloneAttempt{now, ok})
	for now.Sub(a.attempts[0].at) > time.Minute {
		a.attempts = a.attempts[1:]
	}
	failures := 0
	for _, attempt := range a.attempts {
		if !attempt.ok {
			failures++
		}
	}
	if failures < 5 || 5*failures < len(a.attempts) {
		return 0
	}
	a.attempts = nil
	a.ejection = min(max(2*a.ejection, 5*time.Second), time.Minute)
	return now.Add(a.ejection)
}

// baselineResult is what a plain variant does with one gray server.
type baselineResult struct {
	first, all time.Duration // until the first and the last host had it out
	hosts      int           // that ever had it out, before the time was over
	failed     float64       // share of all requests of the first minute
}

// runBaseline sends 200 requests a second through 40 hosts to 10 servers, one
// of which fails a third of its work. Each host decides by itself.
func runBaseline(seed uint64, limit time.Duration, newDetector func() detector) baselineResult {
	const hosts, servers = 40, 10
	rnd := rand.New(rand.NewPCG(seed, 4))
	detectors := make(map[[2]int]detector)
	until := make(map[[2]int]model.Instant)
	out := make(map[int]bool)
	var now, start model.Instant
	var result baselineResult
	requests, failures := 0, 0
	for now.Sub(start) < limit && len(out) < hosts {
		now = now.Add(time.Duration(rnd.ExpFloat64() * float64(5*time.Millisecond)))
		h, s := rnd.IntN(hosts), rnd.IntN(servers)
		for now < until[[2]int{h, s}] {
			s = rnd.IntN(servers)
		}
		pair := [2]int{h, s}
		ok := s != 3 || rnd.IntN(3) > 0
		if !ok && start == 0 {
			start = now
		}
		if start != 0 && now.Sub(start) < time.Minute {
			requests++
			if !ok {
				failures++
			}
		}
		if detectors[pair] == nil {
			detectors[pair] = newDetector()
		}
		until[pair] = detectors[pair].observe(now, ok)
		if until[pair] > now && s == 3 {
			out[h] = true
			if result.first == 0 {
				result.first = now.Sub(start)
			}
		}
	}
	result.all = now.Sub(start)
	result.hosts = len(out)
	result.failed = float64(failures) / float64(max(requests, 1))
	return result
}

// TestComparedWithPlainVariants guards against a coordinator that is no better
// than hosts that decide alone. The figures go to docs/measures.md.
func TestComparedWithPlainVariants(t *testing.T) {
	const seed = 3
	plain := runBaseline(seed, 10*time.Minute, func() detector { return &alone{} })
	t.Logf("every host alone: first %v, %d hosts %v, %.2f %% failed",
		plain.first, plain.hosts, plain.all, 100*plain.failed)
	paper := runBaseline(seed, 10*time.Minute, func() detector { return &breaker{} })
	t.Logf("breaker: first %v, %d hosts %v, %.2f %% failed",
		paper.first, paper.hosts, paper.all, 100*paper.failed)

	m := newSim(t, simOptions{seed: seed})
	bad := m.servers[3]
	bad.fails = m.failing(1.0/3, 20*time.Second)
	m.run(20 * time.Second)
	before := len(m.outcomes)
	for m.inForce(bad.id) < len(m.hosts) && m.now < model.Instant(60*time.Second) {
		m.run(time.Duration(m.now) + 5*time.Millisecond)
	}
	all := m.now.Sub(m.firstFailure)
	m.run(80 * time.Second)
	failed := float64(m.failures) / float64(len(m.outcomes)-before)
	t.Logf("coordinator: all %v, %.2f %% failed", all, 100*failed)
	qt.Check(t, all < plain.first, qt.IsTrue)
	qt.Check(t, failed < plain.failed && failed < paper.failed, qt.IsTrue)
}
