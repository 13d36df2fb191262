package placement

import (
	"time"

	"pollensail.dev/decision/model"
)

// A probe is an ordinary request that is sent to a suspected server, to find
// out whether it has recovered.
const (
	// probeDelay is the time after a failure of a server until it may be probed.
	probeDelay = 1500 * time.Millisecond
	// probeWeight is the weight of a server that is to be probed, as a multiple
	// of that of a server without any observation. It gets the probe soon even
	// if the fleet sends each server only a few requests a second.
	probeWeight = 3
	// reachableProbability is the probability of a sound path from which a
	// server counts as reachable.
	reachableProbability = 0.5
)

// isProbeDue reports whether a server may be probed: its last failure is long
// enough ago, and this host can reach it. A server whose last probe succeeded is
// due at once, so that a few more successes clear it.
func (s *server) isProbeDue(now model.Instant) bool {
	isReachable := s.pathBelief.excessLogOdds == 0 || s.pathBelief.soundProbability(now) > reachableProbability
	return isReachable && now >= s.probeAt
}

// needsProbe reports whether a server of low success probability is to get more
// requests: it is suspected, or has been until recently and needs a few more
// successes for its full share, and the service is too short of servers to leave
// it unused.
func (p *Pool) needsProbe(now model.Instant, s *server, isShort bool) bool {
	return isShort && s.isProbeDue(now) && p.floor.needs(now, s)
}

// IsProbe reports whether a request to the server is a probe: the server is
// suspected, and gets the request because the service is short of servers.
func (p *Pool) IsProbe(now model.Instant, id model.ServerID) bool {
	s, ok := p.byID[id]
	return ok && s.isSuspected(now) && p.needsProbe(now, s, p.IsShort(now))
}
