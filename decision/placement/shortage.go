package placement

import (
	"time"

	"pollensail.dev/decision/model"
)

// While a service cannot serve a good part of its requests, it cannot afford to
// leave servers idle for what they did some time ago: most gray servers recover
// by themselves. Each suspected server then gets a request from time to time.

const (
	// shortageMemory is the time constant of the counts.
	shortageMemory = 3 * time.Second
	// shortageShare is the part of the requests that are not served from which
	// the service is short, and shortageMargin how many more it takes, so that a
	// single failure at a host with few requests says nothing.
	shortageShare  = 0.1
	shortageMargin = 1.0
	// restTime is how long a server is left alone after its last sign.
	restTime = 1500 * time.Millisecond
	// restedShare is the share of the draws that a server gets after that.
	restedShare = 0.25
	// reachableTrust is the trust in the path from which a server counts as reached.
	reachableTrust = 0.5
)

// shortage counts the requests of a service at one host, with exponential decay.
type shortage struct {
	asked    float64
	unserved float64
	at       model.Instant
}

func (s *shortage) count(now model.Instant, isServed bool) {
	keep := decay(now.Sub(s.at), shortageMemory)
	s.at = now
	s.asked = s.asked*keep + 1
	s.unserved *= keep
	if !isServed {
		s.unserved++
	}
}

// isShort reports whether the service is short of servers, as far as this host
// has seen of late.
func (s *shortage) isShort(now model.Instant) bool {
	keep := decay(now.Sub(s.at), shortageMemory)
	return s.unserved*keep >= shortageShare*s.asked*keep+shortageMargin
}

// CountEnd counts a request for the service that has ended, also one that was
// refused before it reached a server. A failure at a server of the given low trust
// does not count, because trials of suspected servers would keep themselves going.
func (p *Pool) CountEnd(now model.Instant, isServed bool, trust float64) {
	p.shortage.count(now, isServed || trust < doubtful)
}

// isRested reports whether a suspected server is to be tried, because the
// service is short and the server was left alone for a while. A server that this
// host does not reach is no help.
func (s *server) isRested(now model.Instant) bool {
	isReachable := s.path.above == 0 || s.path.trust(now) > reachableTrust
	return isReachable && now.Sub(s.suspicion.at) >= restTime
}
