package decision

import (
	"fmt"
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
)

// recordPause leaves a server alone for the time that it asked for when it
// refused a request. If no server is left, the queued requests are refused at
// once.
func (s *State) recordPause(service model.ServiceID, server model.ServerID, result model.AttemptResult) {
	if result.InvalidRetryAfter {
		s.noteInvalidRetryAfter(server)
	}
	if result.RetryAfter <= 0 {
		return
	}
	pool := s.pool(service)
	if !pool.IsPaused(s.now, server) {
		s.emitNotice(effect.NoticePaused, fmt.Sprintf("%s: no requests for %v", server, result.RetryAfter))
	}
	pool.Pause(s.now, server, result.RetryAfter)
	if pool.PausedFor(s.now, nil) > 0 || s.snapshot.RestrictsRegions() {
		s.dispatchQueue(service)
	}
}

// pausedFor returns the time until the first server that the request may be sent to
// may get one, if all of them are paused, else 0.
func (s *State) pausedFor(r *request) time.Duration {
	if pool := s.pool(r.service); pool != nil {
		return pool.PausedFor(s.now, s.allowedRegions(r))
	}
	return 0
}

// maxBadHeaderServers bounds the servers that are remembered for an invalid
// header field.
const maxBadHeaderServers = 1024

// noteInvalidRetryAfter reports a server once for a Retry-After that cannot be
// read.
func (s *State) noteInvalidRetryAfter(id model.ServerID) {
	noted := s.servers.invalidRetryAfter
	if noted[id] || len(noted) >= maxBadHeaderServers {
		return
	}
	noted[id] = true
	s.emitNotice(effect.NoticeBadHeader, string(id)+": Retry-After is not one number of seconds")
}
