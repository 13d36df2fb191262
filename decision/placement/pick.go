package placement

import (
	"math/rand/v2"
	"slices"

	"pollensail.dev/decision/model"
)

// PickInfo is what the choice of a server depends on for one request.
type PickInfo struct {
	// Tried holds the servers of earlier attempts. They are chosen only if there is
	// no other.
	Tried []model.ServerID
	// Working holds the servers of attempts that are still running. They are not
	// chosen.
	Working []model.ServerID
	// IsRepeatable says that the request may be sent to another server if this
	// attempt fails.
	IsRepeatable bool
	// Regions holds the regions whose servers may be chosen; nil: all servers, empty:
	// none.
	Regions []model.RegionID
	// IsLarge says that the request or the answer is costly to transfer between
	// failure domains.
	IsLarge bool
}

// probabilityExponent returns the power to which the success probability of a
// server is raised in its weight.
func (i PickInfo) probabilityExponent() int {
	if i.IsRepeatable {
		return repeatableExponent
	}
	return singleRunExponent
}

// pick returns the server for a request by the power of two choices: the less
// loaded of two that are drawn at random, weighted by success probability.
// Candidates are the servers that are not avoided, not tried before and have a
// free slot; if there are none, all that were not tried before; then all that do
// not work on the request. It returns nil when this host may send none of these
// another request.
func (p *Pool) pick(now model.Instant, rnd *rand.Rand, info PickInfo) *server {
	if s := p.pickBySampling(now, rnd, info); s != nil {
		return s
	}
	p.collectEligible(now, info.Regions, func(s *server) bool {
		return !info.hasTried(s) && now >= s.avoidUntil && p.load(now, s) < 1
	})
	if len(p.eligible) == 0 {
		p.collectEligible(now, info.Regions, func(s *server) bool { return !info.hasTried(s) })
	}
	if len(p.eligible) == 0 {
		p.collectEligible(now, info.Regions, func(s *server) bool { return !slices.Contains(info.Working, s.ID) })
	}
	return p.pickOfTwo(now, rnd, info)
}

func (i PickInfo) hasTried(s *server) bool {
	return slices.Contains(i.Tried, s.ID) || slices.Contains(i.Working, s.ID)
}

// HasRoomBeside reports whether a request that is at work at some servers may be sent
// to another one at once, without passing requests that wait in the queue.
func (p *Pool) HasRoomBeside(now model.Instant, working []model.ServerID, regions []model.RegionID) bool {
	if !p.HasRoom() || p.HasWaiting(now) {
		return false
	}
	p.collectEligible(now, regions, func(s *server) bool { return !slices.Contains(working, s.ID) })
	return len(p.eligible) > 0
}

// collectEligible sets eligible to the servers of the subset that are in the regions,
// match and may get another request of this host.
func (p *Pool) collectEligible(now model.Instant, regions []model.RegionID, matches func(*server) bool) {
	p.eligible = p.eligible[:0]
	for _, s := range p.subset {
		if p.mayPlace(now, s, regions) && matches(s) {
			p.eligible = append(p.eligible, s)
		}
	}
}

// mayPlace reports whether this host may send the server another request that is
// restricted to the regions. Every choice of a server passes it.
func (p *Pool) mayPlace(now model.Instant, s *server, regions []model.RegionID) bool {
	if s.isFull(now, p.limits.Connections) || !s.allows(regions) {
		return false
	}
	return p.mayPlaceIfCold(now, s)
}

// pickOfTwo draws two of the eligible servers and returns the preferred one,
// nil if none is eligible.
func (p *Pool) pickOfTwo(now model.Instant, rnd *rand.Rand, info PickInfo) *server {
	if len(p.eligible) == 0 {
		return nil
	}
	p.computeWeights(now, info)
	i := p.drawWeighted(rnd)
	first := p.eligible[i]
	p.weights[i] = 0
	if len(p.eligible) == 1 {
		return first
	}
	second := p.eligible[p.drawWeighted(rnd)]
	if p.isPreferred(now, second, first) {
		return second
	}
	return first
}

// busyLoadThreshold is the load from which a less loaded server is preferred
// even if its success probability is lower.
const busyLoadThreshold = 0.5

// isPreferred reports whether s is preferred to other, which was drawn before
// it. A suspected server has a low load because it is suspected, so its load
// alone is no reason to choose it while the other one has free slots.
func (p *Pool) isPreferred(now model.Instant, s, other *server) bool {
	return isPreferredAt(now, s, other, p.load(now, s), p.load(now, other))
}

// isPreferredAt is isPreferred for servers of known load.
func isPreferredAt(now model.Instant, s, other *server, ownLoad, load float64) bool {
	return ownLoad < load && (load >= busyLoadThreshold || s.successProbability(now) >= other.successProbability(now)-probabilityTolerance)
}

// crossDomainWeight is the relative weight of a server in another failure domain
// when the request or the answer is large. It is small enough that a server of
// the own domain is chosen unless it is suspected or busy.
const crossDomainWeight = 1.0 / 32

// computeWeights sets the weight of each eligible server in the random draws.
// Cold and suspected servers get less and, for a large request or answer, servers
// in other failure domains too. A suspected server that is to be probed gets more.
func (p *Pool) computeWeights(now model.Instant, info PickInfo) {
	p.weights = p.weights[:0]
	p.floor.update(now, p.subset, &p.limits, p.IsShort(now))
	exponent := info.probabilityExponent()
	unobservedWeight := intPower(priorSoundProbability, exponent)
	total := 0.0
	for _, s := range p.eligible {
		probabilityWeight := intPower(s.successProbability(now), exponent)
		weight := max(p.scaleWeight(now, s, info, probabilityWeight), minWeight)
		p.weights = append(p.weights, weight)
		total += weight
	}
	probeWeight := min(p.probeShare(now)*total, maxProbeWeight*unobservedWeight)
	for i, s := range p.eligible {
		if p.needsProbe(now, s) {
			p.weights[i] = max(p.weights[i], p.scaleWeight(now, s, info, probeWeight))
		}
	}
}

// scaleWeight reduces the weight of a cold or loaded server and, for a large request
// or answer, of one in another failure domain.
func (p *Pool) scaleWeight(now model.Instant, s *server, info PickInfo, weight float64) float64 {
	return weight * p.fixedScale(now, s, info) * p.balanceWeight(now, s)
}

// fixedScale is the part of scaleWeight that does not depend on the server's load.
func (p *Pool) fixedScale(now model.Instant, s *server, info PickInfo) float64 {
	scale := s.rampFraction(now, p.limits.ColdRamp)
	if info.IsLarge && !s.IsNear {
		scale *= crossDomainWeight
	}
	return scale
}

// intPower returns x to the power of a small n. math.Pow would take most of the
// time of a choice.
func intPower(x float64, n int) float64 {
	result := 1.0
	for range n {
		result *= x
	}
	return result
}

// minWeight keeps each server eligible, however cold or suspected.
const minWeight = 1e-9

// drawWeighted returns the index of a random eligible server, in proportion to
// the weights.
func (p *Pool) drawWeighted(rnd *rand.Rand) int {
	total := 0.0
	for _, weight := range p.weights {
		total += weight
	}
	point := rnd.Float64() * total
	last := 0
	for i, weight := range p.weights {
		if weight == 0 {
			continue
		}
		last = i
		if point < weight {
			break
		}
		point -= weight
	}
	return last
}
