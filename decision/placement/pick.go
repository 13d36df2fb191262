package placement

import (
	"math/rand/v2"
	"slices"

	"pollensail.dev/decision/model"
)

// Demand is what a request needs of its server.
type Demand struct {
	// Tried are the servers of earlier attempts.
	Tried []model.ServerID
	// IsRepeatable says that the request may be sent to another server if this
	// one fails.
	IsRepeatable bool
	// IsLarge says that the answer is costly to carry between failure domains.
	IsLarge bool
}

func (d Demand) caution() int {
	if d.IsRepeatable {
		return repeatableCaution
	}
	return onceCaution
}

// pick returns the server for a request: the less loaded of two that are drawn
// by trust, among those that are neither avoided, tried before nor busy; if
// there are none, among all that were not tried; then among all. It returns nil
// when every server is full.
func (p *Pool) pick(now model.Instant, rnd *rand.Rand, d Demand) *server {
	p.collect(func(s *server) bool {
		isTried := slices.Contains(d.Tried, s.ID)
		return !isTried && now >= s.avoidUntil && s.load(now, p.limits.Slots) < 1
	})
	if len(p.eligible) == 0 {
		p.collect(func(s *server) bool { return !slices.Contains(d.Tried, s.ID) })
	}
	if len(p.eligible) == 0 {
		p.collect(func(*server) bool { return true })
	}
	return p.lessLoaded(now, rnd, d)
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

func (p *Pool) lessLoaded(now model.Instant, rnd *rand.Rand, d Demand) *server {
	if len(p.eligible) == 0 {
		return nil
	}
	p.weigh(now, d)
	i := p.draw(rnd)
	first := p.eligible[i]
	p.shares[i] = 0
	if len(p.eligible) == 1 {
		return first
	}
	second := p.eligible[p.draw(rnd)]
	if p.isPreferred(now, second, first) {
		return second
	}
	return first
}

// busyLoad is the load from which a server is left for one that is trusted less.
const busyLoad = 0.5

// isPreferred reports whether a server is preferred to another that was drawn
// before it. A suspected server is idle because it is suspected, which is no
// reason to choose it while the other has room.
func (p *Pool) isPreferred(now model.Instant, s, other *server) bool {
	load := other.load(now, p.limits.Slots)
	isLessLoaded := s.load(now, p.limits.Slots) < load
	return isLessLoaded && (load >= busyLoad || s.trust(now) >= other.trust(now)-usualDoubt)
}

// farShare is the share of the draws that a server in another failure domain
// gets for a large answer, in relation to one that is near. It is small enough
// that a near server is chosen unless it is suspected or busy.
const farShare = 1.0 / 32

// weigh sets the share of the draws that each eligible server gets: less for a
// cold one, for one that is suspected and, for a large answer, for one that is
// far.
func (p *Pool) weigh(now model.Instant, d Demand) {
	p.shares = p.shares[:0]
	isShort := p.shortage.isShort(now)
	for _, s := range p.eligible {
		trust := power(s.trust(now), d.caution())
		if isShort && s.isRested(now) {
			trust = max(trust, restedShare)
		}
		share := s.share(now, p.limits.ColdRamp) * trust
		if d.IsLarge && !s.IsNear {
			share *= farShare
		}
		p.shares = append(p.shares, max(share, minShare))
	}
}

// power returns x to the power of a small n, of which math.Pow would take most of
// the time of a choice.
func power(x float64, n int) float64 {
	result := 1.0
	for range n {
		result *= x
	}
	return result
}

// minShare keeps each server eligible, however cold or suspected.
const minShare = 1e-9

// draw returns the index of a random eligible server by the shares.
func (p *Pool) draw(rnd *rand.Rand) int {
	total := 0.0
	for _, share := range p.shares {
		total += share
	}
	point := rnd.Float64() * total
	last := 0
	for i, share := range p.shares {
		if share == 0 {
			continue
		}
		last = i
		if point < share {
			break
		}
		point -= share
	}
	return last
}
