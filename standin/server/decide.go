package server

import "time"

// faultDecision holds the faults that apply to one request.
type faultDecision struct {
	faults                             Faults
	shed, fail, reset, truncate, cross bool
}

// decideFaults counts a request and decides which of the injected faults apply to
// it.
func (s *Server) decideFaults() faultDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Received++
	s.countCold(time.Now())
	f := s.faults
	decision := faultDecision{faults: f}
	decision.shed = s.samplers.shed.sample(f.ShedShare)
	if decision.shed {
		return decision
	}
	decision.fail = s.samplers.fail.sample(f.FailShare) || s.inFailingPhase(f)
	decision.reset = s.samplers.reset.sample(f.ResetShare)
	decision.truncate = s.samplers.truncate.sample(f.TruncateShare)
	decision.cross = s.samplers.cross.sample(f.CrossShare)
	return decision
}

// inFailingPhase reports whether a flapping server is failing at present.
func (s *Server) inFailingPhase(f Faults) bool {
	if f.FlapMillis <= 0 {
		return false
	}
	period := time.Duration(f.FlapMillis) * time.Millisecond
	return time.Since(s.flapStart)/period%2 == 0
}
