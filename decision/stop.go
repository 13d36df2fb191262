package decision

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// DefaultBalancerDelay is how long a planned stop waits for the platform's
// load balancer to stop sending requests, where the settings do not say.
const DefaultBalancerDelay = 5 * time.Second

// onStopRequested begins a planned stop. Readiness fails at once, but requests
// are served until the load balancer has had time to react.
func (s *State) onStopRequested(e event.StopRequested) {
	if s.stopping {
		return
	}
	s.stopping = true
	s.stopSummary.InFlight = len(s.requests)
	s.setReady(false)
	s.announceStop()
	delay := e.BalancerDelay
	if delay <= 0 {
		delay = DefaultBalancerDelay
	}
	s.timers.Set(timerKey{timerStop, stopTimerClose}, s.now.Add(delay))
	if e.Grace > 0 {
		s.timers.Set(timerKey{timerStop, stopTimerEndWaiting}, s.now.Add(e.Grace*waitingNumerator/waitingDenominator))
	}
}

// IDs of timerStop.
const (
	stopTimerClose = iota
	stopTimerEndWaiting
)

// waitingNumerator/waitingDenominator is the part of the grace time in which requests
// may wait for a server. The rest is left for the answers of running attempts.
const (
	waitingNumerator   = 5
	waitingDenominator = 6
)

func (s *State) onStopTimer(id uint64) {
	switch id {
	case stopTimerClose:
		s.closeTraffic()
	case stopTimerEndWaiting:
		s.endWaiting()
	}
}

// endWaiting ends the requests that wait for a token, a claim or a server, and lets no
// further attempt start: the process would be killed before they had an answer.
func (s *State) endWaiting() {
	s.attemptsEnded = true
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		if r, ok := s.requests[id]; ok && r.stage < stageForward {
			s.endForStop(r)
		}
	}
}

// endForStop ends a request that gets no further attempt because of the planned stop.
// One that was sent before ends with the failure of its last attempt.
func (s *State) endForStop(r *request) {
	reason := model.ReasonStopping
	if r.attempts > 0 {
		r.noRetry = model.NoRetryStopping
		reason = cmp.Or(r.lastFailure, reason)
	}
	s.releasePlacement(r)
	s.endUnserved(r, reason, 0)
}

// announceStop tells the owners of slots of the planned stop. They would learn of it from
// heartbeats only later, and one that stops too could hand its slots to this host,
// which may not get rid of them in time. The number of owners does not grow with the
// fleet.
func (s *State) announceStop() {
	if s.snapshot == nil {
		return
	}
	m := s.fillHeartbeat(message.Heartbeat{StoreAge: -1})
	told := map[model.HostID]bool{s.self.ID: true}
	for _, id := range s.snapshot.Slots() {
		owner, ok := s.slotOwner(id)
		if ok && !told[owner.ID] {
			told[owner.ID] = true
			s.send(owner.ID, m)
		}
	}
}

// closingArrivalTime is how long requests are served that arrive while the listener
// for callers is being closed.
const closingArrivalTime = 300 * time.Millisecond

// closeTraffic closes the listener for callers after the balancer delay, and soon
// refuses requests: one that is still being read may come too late to be answered
// before the process is killed at the end of its stop period. Slots are handed over
// while the last requests run: a process that is killed would otherwise leave them
// without an owner.
func (s *State) closeTraffic() {
	s.arrivalsUntil = s.now.Add(closingArrivalTime)
	s.emit(effect.CloseTraffic{})
	s.handOverSlots()
}

func (s *State) onTrafficClosed() {
	s.trafficClosed = true
	s.exitIfDrained()
}

// exitIfDrained ends the process once the listener for callers is closed, no
// request is in flight, no claim end waits for its acknowledgement, and the
// slots are handed over or their handover has timed out.
func (s *State) exitIfDrained() {
	if !s.trafficClosed || len(s.requests) > 0 {
		return
	}
	s.recordStop()
	if len(s.claims.unackedEnds) > 0 || !s.handOverSlots() {
		return
	}
	s.emit(effect.Exit{})
}

// recordStop records the requests of the planned stop once the last has ended. The
// handover of the slots may outlast the time after which the process is killed.
func (s *State) recordStop() {
	if !s.stopRecorded {
		s.stopRecorded = true
		s.emit(effect.RecordStop{Summary: s.stopSummary})
	}
}

// countStopOutcome counts a request that ended during the planned stop.
func (s *State) countStopOutcome(o model.Outcome) {
	if !s.stopping {
		return
	}
	if !o.Complete {
		s.stopSummary.Incomplete++
	}
	if o.Reason != "" && len(o.Cancelled) > 0 && !o.CallerLeft {
		s.stopSummary.Replaced++
	}
}

func (s *State) setReady(ready bool) {
	if s.ready == ready {
		return
	}
	s.ready = ready
	s.emit(effect.SetReady{Ready: ready})
}
