package decision

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// detector is a baseline by which one host judges one server on its own.
type detector interface {
	// observe records the result of one attempt and returns until when the server
	// is out of use; 0: it stays in use.
	observe(now model.Instant, ok bool) (until model.Instant)
}

// circuitBreaker is the circuit breaker of the paper: open for 2 s after five
// consecutive failures.
type circuitBreaker struct{ inRow int }

func (b *circuitBreaker) observe(now model.Instant, ok bool) model.Instant {
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

// localDetector applies the coordinator's rule to the host's own attempts of
// the last minute: at least five failures that are at least a fifth of the
// attempts. It ejects for 5 s, doubling up to a minute.
type localDetector struct {
	attempts []localAttempt
	ejection time.Duration
}

type localAttempt struct {
	at model.Instant
	ok bool
}

func (a *localDetector) observe(now model.Instant, ok bool) model.Instant {
	a.attempts = append(a.attempts, localAttempt{now, ok})
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

// baselineResult is how a baseline handles one gray failure.
type baselineResult struct {
	first, all time.Duration // until the first and the last host ejected it
	hosts      int           // that ejected it before the time limit
	failed     float64       // share of all requests of the first minute
}

// runBaseline sends 200 requests a second through 40 hosts to 10 servers, one
// of which fails a third of its requests. Each host decides by itself.
func runBaseline(seed uint64, limit time.Duration, newDetector func() detector) baselineResult {
	const hosts, servers = 40, 10
	rnd := rand.New(rand.NewPCG(seed, 4))
	detectors := make(map[[2]int]detector)
	until := make(map[[2]int]model.Instant)
	ejecting := make(map[int]bool)
	var now, start model.Instant
	var result baselineResult
	requests, failures := 0, 0
	for now.Sub(start) < limit && len(ejecting) < hosts {
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
			ejecting[h] = true
			if result.first == 0 {
				result.first = now.Sub(start)
			}
		}
	}
	result.all = now.Sub(start)
	result.hosts = len(ejecting)
	result.failed = float64(failures) / float64(max(requests, 1))
	return result
}

// TestComparedWithPlainVariants guards against a coordinator that is no better
// than hosts that decide on their own. The figures go to docs/measures.md.
func TestComparedWithPlainVariants(t *testing.T) {
	const seed = 3
	local := runBaseline(seed, 10*time.Minute, func() detector { return &localDetector{} })
	t.Logf("local detector: first host %v, %d hosts %v, %.2f %% failed",
		local.first, local.hosts, local.all, 100*local.failed)
	breaker := runBaseline(seed, 10*time.Minute, func() detector { return &circuitBreaker{} })
	t.Logf("circuit breaker: first host %v, %d hosts %v, %.2f %% failed",
		breaker.first, breaker.hosts, breaker.all, 100*breaker.failed)

	m := newSim(t, simOptions{seed: seed})
	bad := m.servers[3]
	bad.fails = m.failing(1.0/3, 20*time.Second)
	m.run(20 * time.Second)
	before := len(m.outcomes)
	for m.countEjecting(bad.id) < len(m.hosts) && m.now < model.Instant(60*time.Second) {
		m.run(time.Duration(m.now) + 5*time.Millisecond)
	}
	all := m.now.Sub(m.firstFailure)
	m.run(80 * time.Second)
	failed := float64(m.failures) / float64(len(m.outcomes)-before)
	t.Logf("coordinator: all hosts %v, %.2f %% failed", all, 100*failed)
	qt.Check(t, all < local.first, qt.IsTrue)
	qt.Check(t, failed < local.failed && failed < breaker.failed, qt.IsTrue)
}
