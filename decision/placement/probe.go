package placement

import (
	"time"

	"pollensail.dev/decision/model"
)

// A probe is an ordinary request that is sent to a suspected server, to find
// out whether it has recovered.
const (
	// probeDelay is the time after a failure of a server until it may be probed. A sound
	// server has failures too, and is to get a request in each two seconds.
	probeDelay = time.Second
	// probeRate is how many probes a second all hosts together send a server that
	// is to be probed, until the first result is known, and shortageProbeRate in a
	// shortage. More of them would be lost at a server that does not answer.
	probeRate         = 4.0
	shortageProbeRate = 8.0
	// maxProbeWeight bounds the weight of a server that is to be probed, as a
	// multiple of that of a server without any observation.
	maxProbeWeight = 3
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
// successes for its full share, and the floor does not allow to leave it unused.
func (p *Pool) needsProbe(now model.Instant, s *server) bool {
	isDoubtful := s.successProbability(now) < priorSoundProbability
	return isDoubtful && s.isProbeDue(now) && p.floor.needs(now, s)
}

// probeShare returns the share of the service's requests, over all hosts, that a
// server gets at most while it is to be probed.
func (p *Pool) probeShare(now model.Instant) float64 {
	requests, _ := p.shortage.counts(now)
	if requests <= 0 {
		return 1
	}
	rate := probeRate
	if p.IsShort(now) {
		rate = shortageProbeRate
	}
	return rate * unservedDecayTime.Seconds() / requests
}

// IsProbe reports whether a request to the server is a probe: the server is
// suspected, and gets the request because of the floor.
func (p *Pool) IsProbe(now model.Instant, id model.ServerID) bool {
	s, ok := p.byID[id]
	return ok && s.isSuspected(now) && p.needsProbe(now, s)
}
