package placement

import (
	"cmp"
	"time"

	"pollensail.dev/decision/model"
)

// loadReportLifetime is how long a server's own report of its load counts. Its
// weight falls linearly, because reports lag and other hosts act on them too.
const loadReportLifetime = 2 * time.Second

// Member is a server that a host may use for ordinary requests.
type Member struct {
	ID model.ServerID
	// ColdSince is when a new server was first seen; model.Never for a warm
	// one.
	ColdSince model.Instant
	// ColdFor is the length of the slow start; 0: Limits.ColdRamp.
	ColdFor time.Duration
	// Slots is how many requests the server processes concurrently; 0:
	// Limits.Slots.
	Slots int
	// Region is the region of the server's failure domain; empty: unknown.
	Region model.RegionID
	// IsNear says that the server is in the host's own failure domain.
	IsNear bool
	// Start is the start of the server's process; 0: unknown.
	Start model.WallTime
	// Trial limits the server to one request of this host at a time.
	Trial bool
}

// server is a member of the subset, or a former one that still has requests in
// flight.
type server struct {
	Member
	inFlight      int
	reportedLoad  int // requests in flight that the server reported
	reportedSlots int // 0: not reported
	reportedAt    model.Instant
	avoidUntil    model.Instant
	pausedUntil   model.Instant // the server asked to get no request before; 0: it did not
	serverBelief  failureBelief // whether the server is failing
	pathBelief    failureBelief // whether this host's network path to it is failing
	probeAt       model.Instant // when the server may be probed
	hasOwnSignal  bool          // this host saw a failure since the server was last not suspected
	inSubset      bool
	placedAt      model.Instant // when this host last chose the server; 0: never
	coldShare     *hostShare    // this host's share of the requests to the server while it is cold; nil: not computed
	estimate      loadEstimate
}

// load returns (own in flight + reported load) / slots.
func (s *server) load(now model.Instant, slots int) float64 {
	slots = cmp.Or(s.reportedSlots, s.Slots, slots)
	return (float64(s.inFlight) + s.decayedLoad(now)) / float64(max(slots, 1))
}

// decayedLoad returns the reported load, reduced linearly with the report's
// age.
func (s *server) decayedLoad(now model.Instant) float64 {
	age := now.Sub(s.reportedAt)
	if s.reportedLoad == 0 || age >= loadReportLifetime {
		return 0
	}
	return float64(s.reportedLoad) * (1 - float64(age)/float64(loadReportLifetime))
}

// rampFraction returns the part of its full share that a server gets in its
// slow start, from 0 for one that was first seen now to 1.
func (s *server) rampFraction(now model.Instant, ramp time.Duration) float64 {
	ramp = cmp.Or(s.ColdFor, ramp)
	if s.ColdSince == model.Never || ramp <= 0 {
		return 1
	}
	return min(float64(now.Sub(s.ColdSince))/float64(ramp), 1)
}

// isFull reports whether this host may send the server no further request now.
func (s *server) isFull(now model.Instant, connections int) bool {
	if s.isPaused(now) || s.Trial && s.inFlight > 0 {
		return true
	}
	return connections > 0 && s.inFlight >= connections
}
