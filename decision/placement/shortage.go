package placement

import (
	"time"

	"pollensail.dev/decision/model"
)

// While a service fails to serve a good part of its requests, leaving servers
// idle for past failures costs more than trying them: most gray failures end by
// themselves. Each suspected server then gets a probe request from time to
// time.
const (
	// shortageDecayTime is the time constant of the counts' exponential decay.
	shortageDecayTime = 3 * time.Second
	// unservedRatio is the share of unserved requests from which the service is
	// short of servers. unservedMargin is how many unserved requests it takes
	// beyond that share, so that a single failure at a host with few requests
	// does not count.
	unservedRatio  = 0.1
	unservedMargin = 1.0
	// probeDelay is the time after the last signal about a server until it may
	// be probed.
	probeDelay = 1500 * time.Millisecond
	// probeWeight is the least weight in the random draws that a server due for
	// a probe gets.
	probeWeight = 0.25
	// reachableProbability is the probability of a sound path from which a
	// server counts as reachable.
	reachableProbability = 0.5
)

// shortage counts the requests for a service at one host, with exponential
// decay.
type shortage struct {
	requests  float64
	unserved  float64
	updatedAt model.Instant
}

func (s *shortage) count(now model.Instant, isServed bool) {
	remaining := decayFactor(now.Sub(s.updatedAt), shortageDecayTime)
	s.updatedAt = now
	s.requests = s.requests*remaining + 1
	s.unserved *= remaining
	if !isServed {
		s.unserved++
	}
}

// counts returns the recent requests and how many of them were unserved.
func (s *shortage) counts(now model.Instant) (requests, unserved float64) {
	remaining := decayFactor(now.Sub(s.updatedAt), shortageDecayTime)
	return s.requests * remaining, s.unserved * remaining
}

// isShort reports whether this host's recent requests show that the service is
// short of servers.
func (s *shortage) isShort(now model.Instant) bool {
	requests, unserved := s.counts(now)
	return unserved >= unservedRatio*requests+unservedMargin
}

// IsShort reports whether this host holds the service to be short of servers.
func (p *Pool) IsShort(now model.Instant) bool { return p.shortage.isShort(now) }

// CountCompletion counts a request for the service that has completed, also one
// that was refused before it reached a server. successProbability is that of
// the server when it was chosen. A failure at a server below suspicionThreshold
// does not count; else the probes of suspected servers would keep the shortage
// up and cause more probes.
func (p *Pool) CountCompletion(now model.Instant, isServed bool, successProbability float64) {
	p.shortage.count(now, isServed || successProbability < suspicionThreshold)
}

// isProbeDue reports whether a suspected server may be probed while the service
// is short of servers. A server that this host cannot reach is not probed.
func (s *server) isProbeDue(now model.Instant) bool {
	isReachable := s.pathBelief.excessLogOdds == 0 || s.pathBelief.soundProbability(now) > reachableProbability
	return isReachable && now.Sub(s.serverBelief.updatedAt) >= probeDelay
}
