package decision

import (
	"time"

	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// maxTimerDelay is how late the timer of a late attempt may fire. A longer delay
// means that this host was paused or overloaded; the answer may be waiting.
const maxTimerDelay = 150 * time.Millisecond

// latePollInterval is the time until a late attempt is looked at again, where the
// retry budget was spent, the request's key could not be confirmed, no other server
// had room, or most servers were fully loaded.
const latePollInterval = 250 * time.Millisecond

// recordAnswerTime records how long the server of an answered attempt took.
// That of a hedged attempt was recorded when the further attempt began.
func (s *State) recordAnswerTime(r *request, a *attempt, result model.AttemptResult) {
	pool := s.pool(r.service)
	isAnswered := isAnswer(result) && result.Status < 500
	if pool != nil && isAnswered && !a.isHedged {
		pool.RecordAnswer(r.route.Class, time.Duration(result.Latency))
		pool.RecordServerTime(s.now, a.server, r.route.Class, time.Duration(result.Latency))
		s.shareLoadReports(r.service, pool)
	}
}

// startLateTimer sets the request's timer to when its new attempt is late.
func (s *State) startLateTimer(r *request) {
	r.noRetry = ""
	pool := s.pool(r.service)
	if pool == nil || !s.sharesDetection(r.service) {
		return
	}
	if times := pool.LateTimes(s.now, r.server, r.route.Class, r.route.Target); times.Late > 0 {
		r.sentAt = s.now
		r.retryAt = s.now.Add(times.Retry)
		s.setLateTimer(r, s.now.Add(times.Late))
	}
}

func (s *State) setLateTimer(r *request, at model.Instant) {
	r.lateAt = at
	s.timers.Set(timerKey{timerRequest, uint64(r.Request)}, at)
}

// onLateTimer handles an attempt that still has no answer. While most servers are
// fully loaded, that is no evidence against one of them, and a second attempt
// would add to the load.
func (s *State) onLateTimer(r *request) {
	pool := s.pool(r.service)
	switch {
	case !r.isRunning || pool == nil || !s.sharesDetection(r.service):
	case s.now > r.lateAt.Add(maxTimerDelay):
		s.setLateTimer(r, s.now.Add(maxTimerDelay))
	case pool.IsSaturated(s.now):
		s.setLateTimer(r, s.now.Add(latePollInterval))
	default:
		s.noteLate(r, pool)
		s.retryLate(r, pool)
	}
}

// noteLate tells the other hosts that the running attempt is late.
func (s *State) noteLate(r *request, pool *placement.Pool) {
	if !r.isLate {
		r.isLate = true
		s.recordSignal(r, &r.attempt, pool, model.SignalLate)
	}
}

// retryLate starts a further attempt beside a late one if the request may be sent
// to another server, or sets the timer to when it may be: sooner if other attempts
// at the server fail too.
func (s *State) retryLate(r *request, pool *placement.Pool) {
	isDue := s.now >= r.retryAt || pool.IsLikelyFailing(s.now, r.server)
	switch {
	case !isDue:
		s.setLateTimer(r, r.retryAt)
	case !pool.HasRoomBeside(s.now, r.workingServers(), s.allowedRegions(r)):
		s.setLateTimer(r, s.now.Add(latePollInterval))
	case !s.takeRetryOfLate(r, pool):
		if r.noRetry == model.NoRetryBudget || r.noRetry == model.NoRetryKey {
			s.setLateTimer(r, s.now.Add(latePollInterval))
		}
	default:
		// Without this the estimate of answer times would fall with each attempt
		// that is cancelled because another one answers first.
		pool.RecordAnswer(r.route.Class, s.now.Sub(r.sentAt))
		r.hedge()
		s.placeAgain(r)
	}
}

// takeRetryOfLate takes a retry from the budget for a request whose attempt is
// late. It reports false if the request may not be sent again, or not in time.
func (s *State) takeRetryOfLate(r *request, pool *placement.Pool) bool {
	switch {
	case !r.route.Idempotent:
		r.noRetry = model.NoRetryMayHaveRun
	case r.callerLeft:
		r.noRetry = model.NoRetryCallerLeft
	case s.attemptsEnded:
		r.noRetry = model.NoRetryStopping
	case !s.isAuthorized(r):
		r.noRetry = model.NoRetryKey
	case r.attempts-r.unsentAttempts >= r.maxAttempts():
		r.noRetry = model.NoRetryMaxAttempts
	case s.now.Add(pool.MeanAnswerTime(r.route.Class)) >= r.deadline:
		r.noRetry = model.NoRetryTime
	case !s.hasOtherServer(r, pool, append(r.triedServers, r.server)):
		r.noRetry = model.NoRetryNoServer
	case !pool.TakeRetry(s.now, s.rand):
		r.noRetry = model.NoRetryBudget
	default:
		r.noRetry = ""
	}
	return r.noRetry == ""
}
