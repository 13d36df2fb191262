package placement

import (
	"fmt"

	"pollensail.dev/decision/model"
)

// Usage counts a pool's servers by what keeps them from ordinary use at this
// host. A server may count more than once.
type Usage struct {
	Servers       int
	Cold          int
	Trial         int
	Avoided       int
	Suspected     int // all servers that count as failing, for whatever reason
	RemoteOnly    int // of Suspected: by signals of other hosts only
	PathSuspected int // this host's path to them counts as failing
	ProbeDue      int // of Suspected: may be probed now
	// Requests and Unserved are the recent requests of all hosts, as estimated by
	// this host, that decide whether the service is short of servers.
	Requests float64
	Unserved float64
}

// String returns the counts as text for a notice.
func (u Usage) String() string {
	return fmt.Sprintf("%.1f of about %.0f recent requests of all hosts unserved; %d servers, %d suspected (%d by other hosts only, %d due for a probe), %d with a suspected path, %d cold, %d in trial, %d avoided",
		u.Unserved, u.Requests, u.Servers, u.Suspected, u.RemoteOnly, u.ProbeDue, u.PathSuspected, u.Cold, u.Trial, u.Avoided)
}

// Usage returns the pool's present counts.
func (p *Pool) Usage(now model.Instant) Usage {
	u := Usage{Servers: len(p.subset)}
	u.Requests, u.Unserved = p.shortage.counts(now)
	for _, s := range p.subset {
		u.add(now, s, p.limits)
	}
	return u
}

func (u *Usage) add(now model.Instant, s *server, limits Limits) {
	if s.rampFraction(now, limits.ColdRamp) < 1 {
		u.Cold++
	}
	if s.Trial {
		u.Trial++
	}
	if now < s.avoidUntil {
		u.Avoided++
	}
	if s.isPathSuspected(now) {
		u.PathSuspected++
	}
	if !s.isSuspected(now) {
		return
	}
	u.Suspected++
	if !s.hasOwnSignal {
		u.RemoteOnly++
	}
	if s.isProbeDue(now) {
		u.ProbeDue++
	}
}

// SuspicionState is what this host's estimate says of a server.
type SuspicionState uint8

const (
	NotSuspected    SuspicionState = iota
	ServerSuspected                // by a signal of this host
	RemoteSuspected                // by signals of other hosts only
	PathSuspected                  // only this host's path to it
)

// Suspicion returns the state of a server, NotSuspected for one that is not in
// the pool.
func (p *Pool) Suspicion(now model.Instant, id model.ServerID) SuspicionState {
	s, ok := p.byID[id]
	switch {
	case !ok:
		return NotSuspected
	case s.isSuspected(now) && s.hasOwnSignal:
		return ServerSuspected
	case s.isSuspected(now):
		return RemoteSuspected
	case s.isPathSuspected(now):
		return PathSuspected
	default:
		return NotSuspected
	}
}
