package placement

import (
	"time"

	"pollensail.dev/decision/estimate"
	"pollensail.dev/decision/model"
)

// An attempt is late once it has no answer after the time in which most attempts
// at sound servers are answered. That is evidence against its server long before
// the caller's deadline. After a still longer time, or if the server is suspected
// anyway, an idempotent request may try another one.
//
// Hosts tell each other of late attempts, and each such message goes to every host.
// What counts as late therefore depends on the rate of the service's requests over
// all hosts, so that the messages of a large fleet do not use up its small hosts.
const (
	// retryDeviations is the number of mean deviations above the mean after which
	// an idempotent request is sent to another server, as for the retransmission
	// timeout of TCP (RFC 6298).
	retryDeviations = 4
	// minLateTime keeps short pauses from counting where answers take
	// milliseconds.
	minLateTime = 300 * time.Millisecond
	// coldLateFactor prolongs the time at a server in its slow start.
	coldLateFactor = 2
	// maxLateRate is how many late attempts at sound servers of a service all hosts
	// may report a second.
	maxLateRate = 6.0
	// maxLateDeviations is the number of deviations where the rate is too high for
	// all others.
	maxLateDeviations = 6
)

// lateLevels are numbers of mean deviations above the mean, and the share of the
// attempts at sound servers that take longer, with exponential response times.
var lateLevels = []struct{ deviations, share float64 }{{2, 0.08}, {3, 0.04}, {4, 0.02}}

// lateDeviations returns the number of mean deviations after which an attempt is
// late.
func (p *Pool) lateDeviations(now model.Instant) float64 {
	rate, _ := p.shortage.counts(now)
	for _, level := range lateLevels {
		if rate*level.share <= maxLateRate {
			return level.deviations
		}
	}
	return maxLateDeviations
}

// LateTimes are the times from sending a request until it is late, and until it
// is sent to another server.
type LateTimes struct{ Late, Retry time.Duration }

// unknownLateFraction is the part of a route's target latency after which an
// attempt is late while no answer is known.
const unknownLateFraction = 0.5

// RecordAnswer records the time from sending a request to its answer.
func (p *Pool) RecordAnswer(class model.Class, d time.Duration) { p.answerTimes[class].Add(d) }

// MeanAnswerTime returns the mean time until a request of the class is answered,
// 0 while no answer is known.
func (p *Pool) MeanAnswerTime(class model.Class) time.Duration { return p.answerTimes[class].Mean() }

// LateTimes returns the times for an attempt at a server, on a route with the given
// target latency. They are 0 if no answer and no target is known. A server that
// reports more requests than slots gets the time that they wait for one.
func (p *Pool) LateTimes(now model.Instant, id model.ServerID, class model.Class, target time.Duration) LateTimes {
	answerTime := &p.answerTimes[class]
	s, ok := p.byID[id]
	if !ok {
		return LateTimes{}
	}
	if answerTime.Mean() == 0 {
		late := time.Duration(unknownLateFraction * float64(target))
		return LateTimes{Late: late, Retry: late}
	}
	return LateTimes{
		Late:  p.lateTime(now, s, answerTime, p.lateDeviations(now)),
		Retry: p.lateTime(now, s, answerTime, retryDeviations),
	}
}

// lateTime returns the time of an answer that is a number of deviations above the
// mean, with what the state of the server adds to it.
func (p *Pool) lateTime(now model.Instant, s *server, answerTime *estimate.ResponseTime, deviations float64) time.Duration {
	late := max(answerTime.Above(deviations), minLateTime)
	if s.rampFraction(now, p.limits.ColdRamp) < 1 {
		late *= coldLateFactor
	}
	if queued := p.load(now, s) - 1; queued > 0 {
		late += time.Duration(queued * float64(answerTime.Mean()))
	}
	return late
}
