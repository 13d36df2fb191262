package decision

import (
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// maxTimeout bounds a caller's timeout on a route that sets none.
const maxTimeout = 10 * time.Minute

// stage is how far a request has come.
type stage uint8

const (
	stageAdmit   stage = iota // waits for a token of its account
	stageClaim                // waits for the owner of its idempotency key
	stagePlace                // waits for a server
	stageForward              // an attempt runs at a server
	stageAnswer               // the answer flows to the caller
)

// request is the life of one caller's request.
type request struct {
	event.RequestArrived
	arrived  model.Instant
	deadline model.Instant
	account  model.AccountID // empty on an open route
	route    *configuration.Route
	service  model.ServiceID
	stage    stage
	// verdict sums up all attempts: NotRun until one may have run.
	verdict  model.Verdict
	attempts int
	server   model.ServerID   // of the running attempt
	tried    []model.ServerID // servers of ended attempts
	result   model.Result
	reason   model.Reason
	notAfter model.Instant // set by admission and claims; Never without limits
	left     bool          // the caller has left; no attempt begins any more

	placing
	admission
	claim
}

// step is what a stage of a request leads to.
type step uint8

const (
	stepNext step = iota // the request goes on to the next stage
	stepWait             // a later event calls advance
	stepDone             // the request was answered
)

func (s *State) onRequestArrived(e event.RequestArrived) {
	r := &request{
		RequestArrived: e,
		arrived:        s.now,
		deadline:       s.now.Add(maxTimeout),
		verdict:        model.NotRun,
		notAfter:       model.Never,
	}
	s.requests[e.Request] = r
	if reason := s.accept(r); reason != "" {
		s.refuse(r, reason, 0)
		return
	}
	r.deadline = s.now.Add(timeoutOf(r))
	s.timers.Set(timerKey{timerRequest, uint64(e.Request)}, r.deadline)
	s.advance(r)
}

// timeoutOf returns the caller's timeout, at most the route's.
func timeoutOf(r *request) time.Duration {
	if r.Timeout > 0 && r.Timeout < r.route.Timeout {
		return r.Timeout
	}
	return r.route.Timeout
}

// accept finds the request's route and account. It returns the reason for a
// refusal, empty when there is none.
func (s *State) accept(r *request) model.Reason {
	if s.snapshot == nil {
		return model.ReasonNotReady
	}
	route, ok := s.snapshot.Match(r.Host, r.Path)
	if !ok {
		return s.orNotReady(model.ReasonNoRoute)
	}
	r.route = route
	r.service = route.Service
	if len(route.Split) > 0 {
		r.service = route.ServiceFor(s.rand.Uint64())
	}
	if !route.AllowsMethod(r.Method) {
		return model.ReasonMethod
	}
	if route.NeedsIdempotencyKey && !route.Idempotent && r.IdempotencyKey == "" {
		return model.ReasonIdempotencyMissing
	}
	return s.authorize(r)
}

// authorize checks the request's key against the snapshot in force. It runs
// again before each forward, because a key may be withdrawn in between.
func (s *State) authorize(r *request) model.Reason {
	// Where keys are confirmed anew all the time, an open route does not depend
	// on the store.
	needsStore := !r.route.Open || s.snapshot.Withdrawal <= 0
	if needsStore && (s.isIsolated() || s.isConfigBehind()) {
		return model.ReasonIsolated
	}
	if r.route.Open {
		return ""
	}
	if s.now >= s.keysUntil() {
		return model.ReasonKeysUnconfirmed
	}
	if !r.HasKey {
		return model.ReasonKeyMissing
	}
	account, ok := s.snapshot.AccountOf(r.Key)
	if !ok {
		return s.orNotReady(model.ReasonKeyUnknown)
	}
	if r.account != "" && r.account != account.ID {
		return model.ReasonKeyUnknown
	}
	if !account.Allows(r.route) {
		return s.orNotReady(model.ReasonAccountRoute)
	}
	r.account = account.ID
	return ""
}

// orNotReady returns the reason where the configuration in force is the newest
// that this host has heard of and was confirmed of late. Otherwise a newer one
// may allow the request, and the caller may come back.
func (s *State) orNotReady(reason model.Reason) model.Reason {
	isConfirmed := s.snapshot.Withdrawal <= 0 || s.now < s.config.confirmedAt.Add(confirmedFor)
	if s.isCurrent() && isConfirmed {
		return reason
	}
	return model.ReasonNotReady
}

// advance moves a request through its stages until it waits or ends.
func (s *State) advance(r *request) {
	for r.stage < stageForward {
		switch s.runStage(r) {
		case stepNext:
			r.stage++
		default:
			return
		}
	}
	s.forward(r)
}

func (s *State) runStage(r *request) step {
	if r.readmitted && r.stage != stageAdmit {
		return stepNext
	}
	switch r.stage {
	case stageAdmit:
		return s.admit(r)
	case stageClaim:
		return s.claimKey(r)
	default:
		return s.place(r)
	}
}

func (s *State) forward(r *request) {
	if reason := s.authorize(r); reason != "" {
		s.refuse(r, reason, 0)
		return
	}
	if !s.ensureToken(r) {
		return
	}
	r.attempts++
	s.spendToken(r)
	s.watchSilence(r)
	s.emit(effect.Forward{
		Request:      r.Request,
		Server:       r.server,
		Account:      r.account,
		AccountName:  s.accountName(r.account),
		Class:        r.route.Class,
		NotAfter:     min(r.notAfter, r.deadline, s.authorizedUntil(r)),
		Deadline:     r.deadline,
		RetainAnswer: s.retainAnswer(r),
		Cancellable:  r.route.Idempotent,
	})
}

// authorizedUntil returns the instant after which the request's key must be
// confirmed anew.
func (s *State) authorizedUntil(r *request) model.Instant {
	if r.route.Open {
		return model.Never
	}
	return s.keysUntil()
}

// accountName returns what servers are told of an account.
func (s *State) accountName(id model.AccountID) string {
	if account, ok := s.snapshot.Accounts[id]; ok && account.Name != "" {
		return account.Name
	}
	return string(id)
}

func (s *State) onAttemptEnded(e event.AttemptEnded) {
	r, ok := s.requests[e.Request]
	if !ok || r.stage != stageForward {
		return
	}
	s.observe(r, e.Result)
	r.tried = append(r.tried, e.Server)
	if e.Result.Verdict != model.NotRun {
		r.verdict = e.Result.Verdict
	}
	if reachedServer(e.Result) {
		r.notAfter = model.Never // the token was used in time
	}
	isAnswer := e.Result.Reason == "" && !e.Result.Shed
	switch {
	case isAnswer && !isServerError(e.Result):
		s.deliver(r, e.Result)
	case s.mayRetry(r, e.Result):
		r.stage = stagePlace
		s.timers.Set(timerKey{timerRequest, uint64(r.Request)}, r.deadline)
		s.advance(r)
	case isAnswer:
		s.deliver(r, e.Result)
	default:
		s.refuse(r, attemptReason(e.Result), 0)
	}
}

// reachedServer reports whether the attempt was sent.
func reachedServer(result model.AttemptResult) bool {
	return result.Shed || result.Verdict != model.NotRun
}

// isServerError reports whether the server answered that it failed. Another
// server may succeed.
func isServerError(result model.AttemptResult) bool {
	return result.Status >= 500 && result.Status <= 504 && result.Status != 501 && !result.Streaming
}

// mayRetry reports whether another attempt is both safe and affordable.
func (s *State) mayRetry(r *request, result model.AttemptResult) bool {
	isSafe := r.verdict == model.NotRun || r.route.Idempotent
	isInTime := s.now < r.deadline && s.now < r.notAfter
	if !isSafe || !isInTime || r.left {
		return false
	}
	return s.takeRetry(r, result)
}

func attemptReason(result model.AttemptResult) model.Reason {
	if result.Shed {
		return model.ReasonOverloaded
	}
	return result.Reason
}

func (s *State) deliver(r *request, result model.AttemptResult) {
	r.stage = stageAnswer
	r.result = model.Delivered
	if !result.Streaming {
		s.unplace(r)
	}
	s.endClaim(r, result.Answer)
	s.emit(effect.Deliver{Request: r.Request, Deadline: r.deadline})
}

// refuse answers the request with a reason and what is known about whether it
// ran.
func (s *State) refuse(r *request, reason model.Reason, retryAfter time.Duration) {
	r.stage = stageAnswer
	r.result = model.Refused
	if r.attempts > 0 {
		r.result = model.Failed
	}
	r.reason = reason
	s.refusals[refusalKey{r.account, reason}]++
	s.endAdmission(r)
	s.unplace(r)
	s.endClaim(r, nil)
	s.emit(effect.Refuse{
		Request:    r.Request,
		Reason:     reason,
		Verdict:    r.verdict,
		RetryAfter: model.Instant(retryAfter),
	})
}

// replay answers the request with the retained answer of its first use.
func (s *State) replay(r *request, answer model.Answer) {
	r.stage = stageAnswer
	r.result = model.Delivered
	r.verdict = model.Ran
	s.emit(effect.Replay{Request: r.Request, Answer: answer})
}

// onRequestDeadline ends a request that still waits. A running attempt ends by
// itself at the same deadline; its timer says that the server is silent.
func (s *State) onRequestDeadline(id model.RequestID) {
	r, ok := s.requests[id]
	switch {
	case !ok || r.stage > stageForward:
	case r.stage == stageForward:
		s.onSilence(r)
	default:
		s.refuse(r, model.ReasonTimedOut, 0)
	}
}

// onCallerLeft ends a request that still waits. A running attempt ends by
// itself, or goes on where its work must not be cut.
func (s *State) onCallerLeft(e event.CallerLeft) {
	r, ok := s.requests[e.Request]
	if !ok {
		return
	}
	r.left = true
	if r.stage < stageForward {
		s.refuse(r, model.ReasonCallerLeft, 0)
	}
}

func (s *State) onAnswerSent(e event.AnswerSent) {
	r, ok := s.requests[e.Request]
	if !ok {
		return
	}
	if r.result == model.Delivered {
		r.result = s.deliveryResult(r, e)
	}
	s.streamEnded(r, e.ServerFailed)
	s.unplace(r)
	s.record(r)
	delete(s.requests, e.Request)
	s.timers.Cancel(timerKey{timerRequest, uint64(e.Request)})
	s.checkStopped()
}

func (s *State) deliveryResult(r *request, e event.AnswerSent) model.Result {
	if !e.Complete {
		return model.Failed
	}
	if s.now > r.deadline {
		return model.Late
	}
	return model.Delivered
}

// isShortfall reports whether the request ended without service for want of a
// server or of a token. A request that is not allowed, as one above its account's
// rate, says nothing about the service.
func (r *request) isShortfall() bool {
	if r.result == model.Delivered {
		return false
	}
	switch r.reason {
	case model.ReasonOverloaded, model.ReasonNoServer, model.ReasonServerFailed, model.ReasonBadAnswer,
		model.ReasonTimedOut, model.ReasonTokensUnavailable:
		return true
	default:
		return false
	}
}

// trustAtEnd returns the trust in the server of the last attempt, 1 where there
// was none.
func (r *request) trustAtEnd() float64 {
	if r.attempts == 0 {
		return 1
	}
	return r.trust
}

func (s *State) record(r *request) {
	if pool := s.pool(r.service); pool != nil {
		pool.CountEnd(s.now, !r.isShortfall(), r.trustAtEnd())
	}
	outcome := model.Outcome{
		Request:  r.Request,
		Name:     r.Name,
		Account:  r.account,
		Server:   r.server,
		Verdict:  r.verdict,
		Result:   r.result,
		Reason:   r.reason,
		Attempts: r.attempts,
		Latency:  s.now - r.arrived,

		ConfigAge: model.Instant(s.confirmationAge()),
		Trust:     r.trust,
		Tried:     r.tried,
	}
	if s.snapshot != nil {
		outcome.Version = s.snapshot.Version
	}
	if r.route != nil {
		outcome.Route = r.route.ID
		outcome.Service = r.service
		outcome.Class = r.route.Class
	}
	s.emit(effect.Record{Outcome: outcome})
}
