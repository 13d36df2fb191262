package health

import (
	"math"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// pathHalfLife is the half-life of a host's counts for a server. At one
	// attempt in two seconds, three failures in a row suffice to avoid it.
	pathHalfLife = 10 * time.Second
	// minPathFailures and minPathFailureRatio are the decayed failures and
	// their share from which a host avoids a server. The ratio is above that of
	// a server which fails a part of its requests, because avoiding that one
	// would keep the evidence from the coordinator.
	minPathFailures     = 2.5
	minPathFailureRatio = 0.6
	// probationSuccesses is the number of successful attempts that end the
	// probation after an avoidance.
	probationSuccesses = 3
)

// pathHistory is a host's own experience with one server. It serves to detect
// faults of the network path to the server, which the coordinator does not act
// on.
type pathHistory struct {
	failed     float64 // attempts, decayed exponentially
	ok         float64
	decayedAt  model.Instant
	avoidances int // consecutive periods in which the server was avoided
	successes  int // successful attempts since the last avoidance began
	avoidUntil model.Instant
}

func (m *Monitor) observePath(now model.Instant, id model.ServerID, finding Finding) {
	p, known := m.paths[id]
	isFailure := finding == Failed || finding == TimedOut
	if !known && !isFailure {
		return
	}
	if !known {
		p = &pathHistory{decayedAt: now}
		m.paths[id] = p
	}
	p.decay(now)
	if isFailure {
		p.recordFailure(now)
		return
	}
	p.ok++
	p.successes++
	if p.successes >= probationSuccesses && p.failed < minPathFailures/2 {
		delete(m.paths, id)
	}
}

func (p *pathHistory) decay(now model.Instant) {
	remaining := math.Exp2(-float64(now.Sub(p.decayedAt)) / float64(pathHalfLife))
	p.failed *= remaining
	p.ok *= remaining
	p.decayedAt = now
}

// recordFailure counts a failure. A server on probation after an avoidance is
// avoided again at its first failure.
func (p *pathHistory) recordFailure(now model.Instant) {
	p.failed++
	onProbation := p.avoidances > 0 && p.successes < probationSuccesses
	isFaulty := p.failed >= minPathFailures && p.failed >= minPathFailureRatio*(p.ok+p.failed)
	if now < p.avoidUntil || !onProbation && !isFaulty {
		return
	}
	p.avoidUntil = now.Add(backoff(p.avoidances))
	p.avoidances++
	p.successes = 0
}

// AvoidUntil returns until when the host prefers other servers to this one, 0
// if it need not.
func (m *Monitor) AvoidUntil(id model.ServerID) model.Instant {
	if p, ok := m.paths[id]; ok {
		return p.avoidUntil
	}
	return 0
}

// minEjectionTime and maxEjectionTime bound the times of backoff.
const (
	minEjectionTime = 5 * time.Second
	maxEjectionTime = 60 * time.Second
)

// backoff returns the exponential backoff: how long a server is ejected or
// avoided after n earlier times in a row. n is capped so that the shift does
// not overflow.
func backoff(n int) time.Duration {
	return min(minEjectionTime<<min(n, 8), maxEjectionTime)
}
