package decision

import (
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
)

// DefaultBalancerDelay is how long a planned stop waits for the platform's
// balancer where the settings do not say.
const DefaultBalancerDelay = 5 * time.Second

// onStopRequested begins a planned stop: readiness fails at once, requests go
// on being served until the balancer has moved away.
func (s *State) onStopRequested(e event.StopRequested) {
	if s.stopping {
		return
	}
	s.stopping = true
	s.setReady(false)
	delay := e.BalancerDelay
	if delay <= 0 {
		delay = DefaultBalancerDelay
	}
	s.timers.Set(timerKey{kind: timerStop}, s.now.Add(delay))
}

// onStopTimer closes the callers' port once the balancer has moved away. Slots
// are handed over while the last requests run, because a process that is killed
// at the end of its time would leave them without an owner.
func (s *State) onStopTimer() {
	s.emit(effect.CloseTraffic{})
	s.stopLimits()
}

func (s *State) onTrafficClosed() {
	s.drained = true
	s.checkStopped()
}

// checkStopped ends the process when the callers' port is closed, no request
// is in flight and every slot is handed over.
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
