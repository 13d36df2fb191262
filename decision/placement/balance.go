package placement

import (
	"cmp"
	"math"
	"time"

	"pollensail.dev/decision/model"
)

// With Limits.EstimatesLoad a host expects a load of each server between the
// server's reports, in place of a load that falls to zero with the report's age. A
// host of a large fleet sends a server one request in many seconds, while a server
// that has been full works off its requests within the time of a few of them.
// Expected is therefore the load of the last report, which approaches the mean of
// the service at the speed at which the server completes requests.
const (
	// utilizationWeight is the least weight of a report in the mean utilization of
	// a service's servers.
	utilizationWeight = 1.0 / 64
	// slownessPrior is how many answers of ordinary duration a server counts as
	// having had before its first one. Service times vary about as much as their
	// mean, so a single answer shows little.
	slownessPrior = 3.0
	// slownessWeight is the least weight of an answer in the slowness of a server,
	// so that a change of its speed shows within some 16 answers of the fleet.
	slownessWeight = 1.0 / 16
	// minSlowness and maxSlowness bound how much a single answer, and the estimate,
	// may differ from the ordinary. A server that is slower than that is found by
	// the detection of failing servers.
	minSlowness = 1.0 / 8
	maxSlowness = 8.0
	// defaultServiceTime applies while no request of the host has ended.
	defaultServiceTime = 500 * time.Millisecond
	// minFreeShare is the least share of free slots in the weight of a server, so
	// that full servers still differ by their other weights.
	minFreeShare = 0.02
	// expectationHorizon is the number of service times after which a report says
	// nothing any more.
	expectationHorizon = 8
)

// loadEstimate is what a host knows of the load and speed of one server.
type loadEstimate struct {
	others   float64 // requests of other hosts at the server at the instant at
	at       model.Instant
	isKnown  bool // there was a report
	slots    int  // 0: not reported
	slowness float64
	answers  float64 // in slowness, with slownessPrior; 0: slowness is not known
	// pending is the newest report that was not passed on to other hosts, and
	// deviation by how much it differed from the expected load per slot.
	pending   LoadReport
	isPending bool
	deviation float64
}

// relativeTime returns the server's response time in relation to the mean of the
// class.
func (e *loadEstimate) relativeTime() float64 {
	if e.answers == 0 {
		return 1
	}
	return e.slowness
}

// weightAt returns the server's part of the weight at a load per slot.
func (e *loadEstimate) weightAt(load float64) float64 {
	return max(1-load, minFreeShare) / e.relativeTime()
}

// addAnswer updates the slowness with the response time of an answer in relation to
// the mean.
func (e *loadEstimate) addAnswer(ratio float64) {
	if e.answers == 0 {
		e.slowness, e.answers = 1, slownessPrior
	}
	e.answers++
	weight := max(1/e.answers, slownessWeight)
	e.slowness += weight * (min(max(ratio, minSlowness), maxSlowness) - e.slowness)
}

// serviceLoad is what a host knows of the load of a service's servers together.
type serviceLoad struct {
	utilization float64 // mean requests per slot
	reports     int
}

func (l *serviceLoad) add(utilization float64) {
	l.reports++
	weight := max(1/float64(l.reports), utilizationWeight)
	l.utilization += weight * (min(utilization, 2) - l.utilization)
}

// load returns the server's load per slot: that expected, or that of the last report
// reduced with its age.
func (p *Pool) load(now model.Instant, s *server) float64 {
	if !p.limits.EstimatesLoad {
		return s.load(now, p.limits.Slots)
	}
	slots := p.slotsOf(s)
	return (p.expectedOthers(now, s, slots) + float64(s.inFlight)) / slots
}

func (p *Pool) slotsOf(s *server) float64 {
	return float64(max(cmp.Or(s.estimate.slots, s.Slots, p.limits.Slots), 1))
}

// expectedOthers returns the expected requests of other hosts at the server.
func (p *Pool) expectedOthers(now model.Instant, s *server, slots float64) float64 {
	e := &s.estimate
	mean := p.serviceLoad.utilization * slots
	if !e.isKnown {
		return mean
	}
	serviceTime := cmp.Or(p.holdTime.Value(), defaultServiceTime)
	relaxation := serviceTime.Seconds() * e.relativeTime() * max(1, e.others/slots)
	age := max(0, now.Sub(e.at).Seconds())
	if age > expectationHorizon*relaxation {
		return mean
	}
	return mean + (e.others-mean)*math.Exp(-age/relaxation)
}

// balanceWeight returns the part of the server's weight that stands for its
// free capacity: its speed, and the share of its slots that is expected to be free.
func (p *Pool) balanceWeight(now model.Instant, s *server) float64 {
	if !p.limits.EstimatesLoad {
		return 1
	}
	return s.estimate.weightAt(p.load(now, s))
}

// recordFull records that a server had no room for a request.
func (p *Pool) recordFull(now model.Instant, s *server) {
	slots := p.slotsOf(s)
	s.estimate.others = max(p.expectedOthers(now, s, slots), slots-float64(max(s.inFlight-1, 0)))
	s.estimate.at, s.estimate.isKnown = now, true
}
