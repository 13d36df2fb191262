package placement

import (
	"math/rand/v2"
	"slices"

	"pollensail.dev/decision/model"
)

// maxColdRedraws bounds the draws that the cold ramp may turn down, for pools
// in which most servers are cold.
const maxColdRedraws = 4

// pick returns the server for a request: two random choices among those that
// are neither avoided, tried before nor busy; if there are none, among all
// that were not tried; then among all. It returns nil when every server is
// full.
func (p *Pool) pick(now model.Instant, rnd *rand.Rand, tried []model.ServerID) *server {
	p.collect(func(s *server) bool {
		isTried := slices.Contains(tried, s.ID)
		return !isTried && now >= s.avoidUntil && s.load(now, p.limits.Slots) < 1
	})
	if len(p.eligible) == 0 {
		p.collect(func(s *server) bool { return !slices.Contains(tried, s.ID) })
	}
	if len(p.eligible) == 0 {
		p.collect(func(*server) bool { return true })
	}
	return p.lessLoaded(now, rnd)
}

// collect gathers the servers of the subset that are not full and match.
func (p *Pool) collect(matches func(*server) bool) {
	p.eligible = p.eligible[:0]
	for _, s := range p.subset {
		if !s.isFull(p.limits.Connections) && matches(s) {
			p.eligible = append(p.eligible, s)
		}
	}
}

func (p *Pool) lessLoaded(now model.Instant, rnd *rand.Rand) *server {
	n := len(p.eligible)
	if n == 0 {
		return nil
	}
	i := p.draw(now, rnd, n)
	first := p.eligible[i]
	if n == 1 {
		return first
	}
	p.eligible[i] = p.eligible[n-1]
	second := p.eligible[p.draw(now, rnd, n-1)]
	if second.load(now, p.limits.Slots) < first.load(now, p.limits.Slots) {
		return second
	}
	return first
}

// draw returns the index of a random server among the first n eligible ones. A
// cold one is turned down with a chance that falls linearly over the ramp,
// which makes its share of the draws grow linearly.
func (p *Pool) draw(now model.Instant, rnd *rand.Rand, n int) int {
	i := rnd.IntN(n)
	for range maxColdRedraws {
		share := p.eligible[i].share(now, p.limits.ColdRamp)
		if share >= 1 || rnd.Float64() < share {
			return i
		}
		i = rnd.IntN(n)
	}
	return i
}
