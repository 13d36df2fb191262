package placement

import (
	"cmp"
	"time"

	"pollensail.dev/decision/model"
)

// reportLife is how long a server's own report of its load counts. It loses
// weight linearly, because reports lag and other hosts act on them too.
const reportLife = 2 * time.Second

// Member is a server that a host may use for ordinary work.
type Member struct {
	ID model.ServerID
	// ColdSince is when a new server appeared; model.Never for a warm one.
	ColdSince model.Instant
	// ColdFor is how long the server is cold; 0: the service's ramp.
	ColdFor time.Duration
	// Slots is how many requests the server works on at once; 0: the service's.
	Slots int
	// IsNear is true in the host's own failure domain.
	IsNear bool
	// Trial limits the server to one request of this host at a time.
	Trial bool
}

// server is a member of the subset, or one that still has work in flight.
type server struct {
	Member
	inFlight   int
	reported   int // load that the server reported
	slots      int // that the server reported; 0: the service's
	reportedAt model.Instant
	avoidUntil model.Instant
	suspicion  suspicion // of the server
	path       suspicion // of this host's path to it
	inSubset   bool
}

// load returns (own in flight + reported load) / slots.
func (s *server) load(now model.Instant, slots int) float64 {
	slots = cmp.Or(s.slots, s.Slots, slots)
	return (float64(s.inFlight) + s.reportedLoad(now)) / float64(max(slots, 1))
}

func (s *server) reportedLoad(now model.Instant) float64 {
	age := now.Sub(s.reportedAt)
	if s.reported == 0 || age >= reportLife {
		return 0
	}
	return float64(s.reported) * (1 - float64(age)/float64(reportLife))
}

// share returns the part of its full share that a server gets, from 0 for one
// that has just appeared to 1.
func (s *server) share(now model.Instant, ramp time.Duration) float64 {
	ramp = cmp.Or(s.ColdFor, ramp)
	if s.ColdSince == model.Never || ramp <= 0 {
		return 1
	}
	return min(float64(now.Sub(s.ColdSince))/float64(ramp), 1)
}

// isFull reports whether this host may not send the server one more request.
func (s *server) isFull(connections int) bool {
	if s.Trial && s.inFlight > 0 {
		return true
	}
	return connections > 0 && s.inFlight >= connections
}
