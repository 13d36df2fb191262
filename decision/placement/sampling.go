package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/model"
)

// A service may have hundreds of servers, and to compute the weights of all of them
// for each request takes microseconds. With Limits.EstimatesLoad a server is
// therefore drawn by rejection: one is drawn with equal probability for all and
// accepted in proportion to its weight. That gives the same distribution. All
// weights are computed only if no server is accepted after several draws.
const (
	// maxDraws is the maximum number of servers that are drawn for a choice. Where
	// one in four servers is usable, one in 10,000 choices needs more.
	maxDraws = 32
	// samplingInterval is the time between updates of the bounds and totals of the
	// weights. They serve to scale the draws, and change slowly.
	samplingInterval = time.Second
	// drawnServers is the number of servers that are drawn, of which the least loaded is
	// chosen. With two, 1 to 3 % more of the requests wait beside a free slot.
	drawnServers = 3
	// preferredHosts is by how many hosts a server is preferred on average. With
	// fewer, a server that few hosts prefer stays idle and the demand of single
	// hosts shows; with more, each host hears of each server less often.
	preferredHosts = 8
	// minPreferred keeps the choice of a host of a large fleet from depending on
	// few servers.
	minPreferred = 12
	// explorationInterval: one choice in so many is among all servers of the
	// subset, so that a server which no host prefers is used too.
	explorationInterval = 16
)

// sampling is what the draws need to know of all servers of a subset.
type sampling struct {
	updatedAt model.Instant
	isUpdated bool
	// bounds are the greatest weights of a server, and totals the sums of the
	// weights, for requests that may be repeated and for others.
	bounds, totals [2]float64
	// probes are the servers to be probed.
	probes []*server
}

// exponents are the powers of the success probability for which sampling has
// bounds and totals.
var exponents = [2]int{repeatableExponent, singleRunExponent}

func (i PickInfo) exponentIndex() int {
	if i.IsRepeatable {
		return 0
	}
	return 1
}

// updateSampling computes what is too old of the bounds, the totals and the servers
// to be probed.
func (p *Pool) updateSampling(now model.Instant) {
	sm := &p.sampling
	if !sm.isUpdated || now.Sub(sm.updatedAt) >= samplingInterval {
		sm.isUpdated, sm.updatedAt = true, now
		p.sumWeights(now)
	}
	if p.floor.isRanked && now.Sub(p.floor.updatedAt) < floorUpdateInterval {
		return
	}
	p.floor.update(now, p.subset, &p.limits, p.IsShort(now))
	sm.probes = sm.probes[:0]
	if math.IsInf(p.floor.maxLogOdds, -1) {
		return // no floor is set
	}
	for _, s := range p.subset {
		if p.needsProbe(now, s) {
			sm.probes = append(sm.probes, s)
		}
	}
}

// sumWeights computes the bounds and totals.
func (p *Pool) sumWeights(now model.Instant) {
	sm := &p.sampling
	sm.bounds, sm.totals = [2]float64{}, [2]float64{}
	for _, s := range p.subset {
		scale := p.scaleWeight(now, s, PickInfo{}, 1)
		probability := s.successProbability(now)
		for k, exponent := range exponents {
			weight := scale * intPower(probability, exponent)
			sm.bounds[k] = max(sm.bounds[k], weight)
			sm.totals[k] += weight
		}
	}
}

// pickBySampling chooses the least loaded of drawnServers servers, which are drawn by
// rejection. It returns
// nil if that finds none, or if the load is not estimated.
func (p *Pool) pickBySampling(now model.Instant, rnd *rand.Rand, info PickInfo) *server {
	if !p.limits.EstimatesLoad || len(p.subset) < 2 {
		return nil
	}
	p.updateSampling(now)
	near := p.preferredServers()
	if rnd.IntN(explorationInterval) == 0 {
		near = len(p.subset)
	}
	first, load := p.drawProbe(now, rnd, info), 0.0
	if first != nil {
		load = p.load(now, first)
	} else {
		first, load = p.draw(now, rnd, info, nil, near)
	}
	if first == nil {
		near = len(p.subset) // the preferred servers are full
		first, load = p.draw(now, rnd, info, nil, near)
	}
	if first == nil {
		return nil
	}
	for range drawnServers - 1 {
		other, otherLoad := p.draw(now, rnd, info, first, near)
		if other != nil && isPreferredAt(now, other, first, otherLoad, load) {
			first, load = other, otherLoad
		}
	}
	return first
}

// preferredServers returns how many of the first servers of the subset this host
// prefers. The subset is in the host's rendezvous order, so that the preferred servers
// of the hosts overlap.
func (p *Pool) preferredServers() int {
	n := len(p.subset)
	return min(n, max(minPreferred, preferredHosts*n/max(p.limits.Hosts, 1)))
}

// draw returns a random usable one of the first n servers in proportion to its
// weight, with its load. It returns nil if it finds none.
func (p *Pool) draw(now model.Instant, rnd *rand.Rand, info PickInfo, other *server, n int) (*server, float64) {
	bound := p.sampling.bounds[info.exponentIndex()]
	for range maxDraws {
		s := p.subset[rnd.IntN(n)]
		if s == other || !p.isAllowed(now, s, info) {
			continue
		}
		weight := intPower(s.successProbability(now), info.probabilityExponent()) * p.fixedScale(now, s, info)
		point := rnd.Float64() * bound * s.estimate.relativeTime()
		if point >= weight {
			continue // whatever its load is
		}
		if load := p.load(now, s); load < 1 && point < weight*max(1-load, minFreeShare) {
			return s, load
		}
	}
	return nil, 0
}

// drawProbe returns a server to be probed as often as computeWeights gives it its
// share, else nil.
func (p *Pool) drawProbe(now model.Instant, rnd *rand.Rand, info PickInfo) *server {
	sm := &p.sampling
	if len(sm.probes) == 0 {
		return nil
	}
	total := sm.totals[info.exponentIndex()]
	unobservedWeight := intPower(priorSoundProbability, info.probabilityExponent())
	weight := min(p.probeShare(now)*total, maxProbeWeight*unobservedWeight)
	all := weight * float64(len(sm.probes))
	if rnd.Float64()*(total+all) >= all {
		return nil
	}
	s := sm.probes[rnd.IntN(len(sm.probes))]
	scale := p.scaleWeight(now, s, info, 1)
	if !p.isUsable(now, s, info) || !p.needsProbe(now, s) || rnd.Float64() >= math.Min(scale, 1) {
		return nil
	}
	return s
}

// isUsable reports whether a server is among the first candidates for a request.
func (p *Pool) isUsable(now model.Instant, s *server, info PickInfo) bool {
	return p.isAllowed(now, s, info) && p.load(now, s) < 1
}

// isAllowed reports whether this host may send the server the request and does not
// avoid it.
func (p *Pool) isAllowed(now model.Instant, s *server, info PickInfo) bool {
	return p.mayPlace(now, s, info.Regions) && !info.hasTried(s) && now >= s.avoidUntil
}
