package placement

import (
	"time"

	"pollensail.dev/decision/model"
)

// A server that refuses a request may ask to get no more for a time. The host
// that it asked sends it nothing until then, not even a probe or a retry. The
// pause outlasts a gap in the host list. Other hosts are not bound by it; they
// take part of the server's load, and hear from it themselves if it is too much.

// maxPause bounds how long a server is left alone, so that one that asks for an
// hour by mistake is tried again.
const maxPause = time.Minute

// Pause sends the server no request for the given time, at most maxPause.
func (p *Pool) Pause(now model.Instant, id model.ServerID, wait time.Duration) {
	if s, ok := p.byID[id]; ok {
		s.pausedUntil = max(s.pausedUntil, now.Add(min(wait, maxPause)))
	}
}

// PausedFor returns the time until the first server in the regions may get a
// request, if all of them are paused, else 0.
func (p *Pool) PausedFor(now model.Instant, regions []model.RegionID) time.Duration {
	first := model.Never
	for _, s := range p.subset {
		if !s.allows(regions) {
			continue
		}
		if !s.isPaused(now) {
			return 0
		}
		first = min(first, s.pausedUntil)
	}
	if first == model.Never {
		return 0
	}
	return first.Sub(now)
}

// IsPaused reports whether the server gets no request because it asked for that.
func (p *Pool) IsPaused(now model.Instant, id model.ServerID) bool {
	s, ok := p.byID[id]
	return ok && s.isPaused(now)
}

func (s *server) isPaused(now model.Instant) bool { return now < s.pausedUntil }
