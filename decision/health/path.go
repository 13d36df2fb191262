package health

import (
	"math"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// pathHalfLife is the pace at which a host forgets what it saw of a
	// server. At one attempt in two seconds, three failures in a row count.
	pathHalfLife = 10 * time.Second
	// pathFailures and pathRatio are from when a host avoids a server. The
	// ratio is above that of a server which fails a part of its work, because
	// avoiding it would keep the coordinator from the evidence.
	pathFailures = 2.5
	pathRatio    = 0.6
	// pathSuccesses is the number of good attempts that end all suspicion.
	pathSuccesses = 3
)

// path is a host's own experience with one server. It tells faults of the way
// there, which the coordinator leaves alone, from faults of the server.
type path struct {
	failed    float64 // decayed counts
	ok        float64
	at        model.Instant
	strikes   int // times in a row that the server was avoided
	successes int // good attempts since the last avoidance
	until     model.Instant
}

func (m *Monitor) observePath(now model.Instant, id model.ServerID, finding Finding) {
	p, known := m.paths[id]
	isFailure := finding == Failed || finding == TimedOut
	if !known && !isFailure {
		return
	}
	if !known {
		p = &path{at: now}
		m.paths[id] = p
	}
	p.decay(now)
	if isFailure {
		p.fail(now)
		return
	}
	p.ok++
	p.successes++
	if p.successes >= pathSuccesses && p.failed < pathFailures/2 {
		delete(m.paths, id)
	}
}

func (p *path) decay(now model.Instant) {
	keep := math.Exp2(-float64(now.Sub(p.at)) / float64(pathHalfLife))
	p.failed *= keep
	p.ok *= keep
	p.at = now
}

// fail counts a failure. A server that was avoided before is avoided again at
// its first failure.
func (p *path) fail(now model.Instant) {
	p.failed++
	onProbation := p.strikes > 0 && p.successes < pathSuccesses
	isFaulty := p.failed >= pathFailures && p.failed >= pathRatio*(p.ok+p.failed)
	if now < p.until || !onProbation && !isFaulty {
		return
	}
	p.until = now.Add(backoff(p.strikes))
	p.strikes++
	p.successes = 0
}

// AvoidUntil returns until when the host is to prefer other servers, 0 when it
// has no reason to.
func (m *Monitor) AvoidUntil(id model.ServerID) model.Instant {
	if p, ok := m.paths[id]; ok {
		return p.until
	}
	return 0
}

const (
	firstEjection = 5 * time.Second
	maxEjection   = 60 * time.Second
)

// backoff returns how long a server is kept away for the n-th time in a row,
// n from 0.
func backoff(n int) time.Duration {
	return min(firstEjection<<min(n, 8), maxEjection)
}
