package placement

import (
	"math"
	"time"

	"pollensail.dev/decision/model"
)

// A server with a gray failure fails most of its requests for some seconds,
// then recovers. A Bayesian filter in log odds estimates whether a server is in
// such an episode. Each attempt adds the log likelihood ratio of its outcome:
// how much likelier it is at a failing server than at a sound one. Without
// observations the estimate decays to the prior. A broken connection is rare at
// a sound server and weighs much, an ordinary error weighs little. A server is
// suspected while its estimated probability to succeed is low.
const (
	priorLogOdds = -3.0 // odds of 1 in 20
	maxLogOdds   = 3.0
	minLogOdds   = -4.0
	// beliefDecayTime is the time constant of the decay to the prior, about the
	// length of an episode.
	beliefDecayTime = 12 * time.Second
)

// serverLogRatios are the log likelihood ratios of the signals for the server,
// and pathLogRatios those of this host's own signals for its path to the
// server: other hosts may reach a server that this one cannot.
var (
	serverLogRatios = [...]float64{
		model.SignalSuccess:     -1.5,
		model.SignalError:       2.5,
		model.SignalBroken:      5,
		model.SignalLate:        lateLogRatio,
		model.SignalUnreachable: 0,
		model.SignalLateSuccess: -lateLogRatio,
	}
	pathLogRatios = [...]float64{
		model.SignalSuccess:     -3,
		model.SignalError:       -3,
		model.SignalBroken:      1,
		model.SignalLate:        3,
		model.SignalUnreachable: 6,
		model.SignalLateSuccess: -3,
	}
)

// lateLogRatio is the log likelihood ratio of an attempt that is late: one in ten
// or fewer of a sound server's are, and most that a silent server accepts. The
// answer, if there is one, takes it back.
const lateLogRatio = 2.5

// failureBelief is a recursive Bayesian filter for one server or path. The zero
// value is the prior.
type failureBelief struct {
	excessLogOdds float64 // log odds of failing minus priorLogOdds at updatedAt
	updatedAt     model.Instant
}

// logOdds returns the log odds that the server or path is failing now.
func (b *failureBelief) logOdds(now model.Instant) float64 {
	if b.excessLogOdds == 0 {
		return priorLogOdds
	}
	return priorLogOdds + b.excessLogOdds*decayFactor(max(0, now.Sub(b.updatedAt)), beliefDecayTime)
}

// decayFactor returns the factor of an exponential decay over a time.
func decayFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-age.Seconds() / timeConstant.Seconds())
}

// update adds the log likelihood ratio of a signal.
func (b *failureBelief) update(now model.Instant, logRatio float64) {
	logOdds := b.logOdds(now) + logRatio
	b.excessLogOdds = min(max(logOdds, minLogOdds), maxLogOdds) - priorLogOdds
	b.updatedAt = now
}

// soundProbability returns the probability that the server or path is not
// failing.
func (b *failureBelief) soundProbability(now model.Instant) float64 {
	if b.excessLogOdds == 0 {
		return priorSoundProbability
	}
	return soundProbabilityOf(b.logOdds(now))
}

// soundProbabilityOf converts log odds of failing to the probability of not
// failing.
func soundProbabilityOf(logOdds float64) float64 { return 1 / (1 + math.Exp(logOdds)) }

// priorSoundProbability is the probability without any observation, which most
// servers have.
var priorSoundProbability = 1 / (1 + math.Exp(priorLogOdds))

// probabilityTolerance is the difference in success probability that counts as
// none.
const probabilityTolerance = 0.05

// successProbability returns the probability that a request to the server
// succeeds.
func (s *server) successProbability(now model.Instant) float64 {
	probability := s.serverBelief.soundProbability(now)
	if s.pathBelief.excessLogOdds != 0 {
		probability *= s.pathBelief.soundProbability(now)
	}
	return probability
}

const (
	// repeatableExponent and singleRunExponent are the powers of the success
	// probability by which servers are weighted. A request that may be sent
	// again can find out whether a suspected server has recovered; one that may
	// run only once goes to the least suspected server.
	repeatableExponent = 2
	singleRunExponent  = 20
	// suspicionThreshold is the probability below which a server counts as
	// suspected, so that a successful attempt at it is worth sharing with other
	// hosts. A server at this probability gets two thirds of its share of the requests
	// that may run only once.
	suspicionThreshold = 0.93
)

// isSuspected reports whether the server counts as failing, whatever the state
// of the path to it.
func (s *server) isSuspected(now model.Instant) bool {
	return s.serverBelief.soundProbability(now) < suspicionThreshold
}

// isPathSuspected reports whether this host's path to the server counts as
// failing.
func (s *server) isPathSuspected(now model.Instant) bool {
	return s.pathBelief.soundProbability(now) < suspicionThreshold
}

// Observe updates the beliefs about a server and the path to it with the signal
// (model.HealthSignal) from an attempt of this host. isUnserved says that the
// caller's request was lost with the attempt, which is not the case for a probe.
// It reports whether other hosts should get the signal.
func (p *Pool) Observe(now model.Instant, id model.ServerID, signal model.HealthSignal, isUnserved bool) bool {
	s, ok := p.byID[id]
	if !ok || signal == model.SignalNone {
		return false
	}
	wasSuspected := s.isSuspected(now)
	s.hasOwnSignal = !signal.IsSuccess() || s.hasOwnSignal && wasSuspected
	p.observeServer(now, s, signal, isUnserved)
	s.pathBelief.update(now, pathLogRatios[signal])
	return signal.IsShared() && (!signal.IsSuccess() || wasSuspected)
}

func (p *Pool) observeServer(now model.Instant, s *server, signal model.HealthSignal, isUnserved bool) {
	s.serverBelief.update(now, serverLogRatios[signal])
	if !signal.IsSuccess() {
		s.probeAt = now.Add(probeDelay)
	}
	if isUnserved {
		p.shortage.addUnserved(now, 1)
	}
}

// SuccessProbability returns the probability that a request to the server
// succeeds, 1 for a server that is not in the pool.
func (p *Pool) SuccessProbability(now model.Instant, id model.ServerID) float64 {
	s, ok := p.byID[id]
	if !ok {
		return 1
	}
	return s.successProbability(now)
}

// IsLikelyFailing reports whether the server is more likely to be failing than not,
// whatever the state of the path to it.
func (p *Pool) IsLikelyFailing(now model.Instant, id model.ServerID) bool {
	s, ok := p.byID[id]
	return ok && s.serverBelief.logOdds(now) > 0
}

// ObserveRemote updates the belief about a server with the signal from an
// attempt of another host.
func (p *Pool) ObserveRemote(now model.Instant, id model.ServerID, signal model.HealthSignal, isUnserved bool) {
	if s, ok := p.byID[id]; ok && signal.IsShared() {
		s.hasOwnSignal = s.hasOwnSignal && s.isSuspected(now)
		p.observeServer(now, s, signal, isUnserved)
	}
}
