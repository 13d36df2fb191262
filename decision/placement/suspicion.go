package placement

import (
	"math"
	"time"

	"pollensail.dev/decision/model"
)

// A gray server fails most of its work for some seconds, then works again. The
// belief that a server is in such a time is kept as the logarithm of the odds.
// Each attempt adds the logarithm of how much likelier its outcome is in a bad
// time than in a good one; without attempts the belief returns to what is usual.
// One broken connection is rare at a good server and counts for much, while an
// ordinary error counts for little.
const (
	usualOdds = -3.0 // 1 in 20
	mostOdds  = 3.0
	leastOdds = -4.0
	// suspicionTime is the time constant of the return, about the length of a
	// bad time.
	suspicionTime = 12 * time.Second
)

// serverWeights are what the signs add to the belief about the server, and
// pathWeights what those of this host add to the belief about its own path to
// the server: other hosts may reach a server that this one does not.
var (
	serverWeights = [...]float64{
		model.SignGood:        -1.5,
		model.SignError:       2.5,
		model.SignBroken:      5,
		model.SignSilent:      2,
		model.SignUnreachable: 0,
	}
	pathWeights = [...]float64{
		model.SignGood:        -3,
		model.SignError:       -3,
		model.SignBroken:      1,
		model.SignSilent:      3,
		model.SignUnreachable: 6,
	}
)

// suspicion is the belief about one server. The zero value is the usual one at
// the start of the process.
type suspicion struct {
	above float64 // odds above usualOdds at the instant at
	at    model.Instant
}

func (s *suspicion) odds(now model.Instant) float64 {
	if s.above == 0 {
		return usualOdds
	}
	return usualOdds + s.above*decay(max(0, now.Sub(s.at)), suspicionTime)
}

// decay returns what is left of 1 after a time, with a time constant.
func decay(age, constant time.Duration) float64 {
	return math.Exp(-age.Seconds() / constant.Seconds())
}

// add adds the weight of a sign.
func (s *suspicion) add(now model.Instant, weight float64) {
	odds := s.odds(now) + weight
	s.above = min(max(odds, leastOdds), mostOdds) - usualOdds
	s.at = now
}

// trust returns the chance that what is believed about is good.
func (s *suspicion) trust(now model.Instant) float64 {
	if s.above == 0 {
		return usualTrust
	}
	return 1 / (1 + math.Exp(s.odds(now)))
}

// usualTrust is the trust without any attempt, which most servers have.
var usualTrust = 1 / (1 + math.Exp(usualOdds))

// usualDoubt is the difference in trust that says nothing.
const usualDoubt = 0.05

// trust returns the chance that a request to the server succeeds.
func (s *server) trust(now model.Instant) float64 {
	trust := s.suspicion.trust(now)
	if s.path.above != 0 {
		trust *= s.path.trust(now)
	}
	return trust
}

const (
	// repeatableCaution and onceCaution are the powers of trust by which servers
	// are chosen. A request that may be sent again finds out whether a suspected
	// server works again; one that may run only once goes to the least suspected.
	repeatableCaution = 2
	onceCaution       = 20
	// doubtful is the trust below which a good attempt is worth telling others.
	doubtful = 0.9
)

// Observe takes the sign of an attempt of this host at a server. It reports
// whether other hosts should know.
func (p *Pool) Observe(now model.Instant, id model.ServerID, sign model.Sign) bool {
	s, ok := p.byID[id]
	if !ok || sign == model.SignNone {
		return false
	}
	wasDoubtful := s.suspicion.trust(now) < doubtful
	s.suspicion.add(now, serverWeights[sign])
	s.path.add(now, pathWeights[sign])
	return sign.IsShared() && (sign != model.SignGood || wasDoubtful)
}

// Trust returns the chance that a request to the server succeeds, 1 for a server
// that is not used.
func (p *Pool) Trust(now model.Instant, id model.ServerID) float64 {
	s, ok := p.byID[id]
	if !ok {
		return 1
	}
	return s.trust(now)
}

// Hear takes the sign of an attempt of another host at a server.
func (p *Pool) Hear(now model.Instant, id model.ServerID, sign model.Sign) {
	if s, ok := p.byID[id]; ok && sign.IsShared() {
		s.suspicion.add(now, serverWeights[sign])
	}
}

const (
	// silentFactor is how many times the usual length of an attempt passes
	// before one without an answer counts as silent.
	silentFactor = 3
	// minSilent keeps short pauses from counting where attempts are short.
	minSilent = 300 * time.Millisecond
)

// SilentAfter returns how long an attempt may go on before it says something
// about its server; 0 while too little is known.
func (p *Pool) SilentAfter() time.Duration {
	if p.held.Value() == 0 {
		return 0
	}
	return max(silentFactor*p.held.Value(), minSilent)
}
