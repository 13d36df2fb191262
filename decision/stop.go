package decision

import (
	"time"

	"pollensail.dev/decision/effect"
)

// balancerDelay is how long the platform's balancer may keep sending requests
// after /readyz fails.
const balancerDelay = 5 * time.Second

// onStopRequested begins a planned stop: readiness fails at once, requests go
// on being served until the balancer has moved away.
func (s *State) onStopRequested() {
	if s.stopping {
		return
	}
	s.stopping = true
	s.setReady(false)
	s.timers.Set(timerKey{kind: timerStop}, s.now.Add(balancerDelay))
}

func (s *State) onStopTimer() {
	s.drained = true
	s.checkStopped()
}

// checkStopped ends the process when the balancer's delay has passed, no
// request is in flight and every slot is handed over.
func (s *State) checkStopped() {
	if !s.drained || len(s.requests) > 0 || len(s.claims.ends) > 0 || !s.stopLimits() {
		return
	}
	s.emit(effect.Exit{})
}

func (s *State) setReady(ready bool) {
	if s.ready == ready {
		return
	}
	s.ready = ready
	s.emit(effect.SetReady{Ready: ready})
}
