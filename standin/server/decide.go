package server

import "time"

// plan is what a request meets.
type plan struct {
	faults                             Faults
	shed, fail, reset, truncate, cross bool
}

// plan applies the faults in force to the next request.
func (s *Server) plan() plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Received++
	f := s.faults
	p := plan{faults: f}
	p.shed = s.shares.shed.take(f.ShedShare)
	if p.shed {
		return p
	}
	p.fail = s.shares.fail.take(f.FailShare) || s.flapped(f)
	p.reset = s.shares.reset.take(f.ResetShare)
	p.truncate = s.shares.truncate.take(f.TruncateShare)
	p.cross = s.shares.cross.take(f.CrossShare)
	return p
}

// flapped reports whether a flapping server is in its failing half.
func (s *Server) flapped(f Faults) bool {
	if f.FlapMillis <= 0 {
		return false
	}
	period := time.Duration(f.FlapMillis) * time.Millisecond
	return time.Since(s.flapping)/period%2 == 0
}
