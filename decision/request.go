package decision

import (
	"cmp"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// maxTimeout is the deadline of a request until its route is known, and bounds
// the timeout in claims of other hosts. Routes have a timeout of their own.
const maxTimeout = 24 * time.Hour

// stage is how far a request has got.
type stage uint8

const (
	stageAdmit   stage = iota // waits for a token of its account
	stageClaim                // waits for the owner of its idempotency key
	stagePlace                // waits for a server
	stageForward              // attempts are running at servers, and no further one is due
	stageAnswer               // the answer is being sent to the caller
)

// request is the state of one caller's request.
type request struct {
	event.RequestArrived
	arrivedAt model.Instant
	deadline  model.Instant
	account   model.AccountID // empty on an open route
	route     *configuration.Route
	service   model.ServiceID
	stage     stage
	// verdict summarizes all attempts: NotRun until one may have run.
	verdict      model.Verdict
	attempts     int              // number of attempts so far
	lastFailure  model.Reason     // why the last ended attempt has not answered the request
	triedServers []model.ServerID // servers of ended and of late attempts
	cancelled    []model.ServerID // servers of attempts that this host cancelled
	result       model.Result
	reason       model.Reason
	notAfter     model.Instant // latest start of an attempt, set by the token; Never without one
	callerLeft   bool          // no further attempt may start
	noRetry      model.NoRetry // why the last failed attempt was the last

	requestPlacement
	requestAdmission
	requestClaim
}

// step is the result of running a stage.
type step uint8

const (
	stepNext step = iota // the request goes on to the next stage
	stepWait             // a later event resumes the request
	stepDone             // the request was answered
)

func (s *State) onRequestArrived(e event.RequestArrived) {
	if !s.memory.budget.Arrived(e.Request) {
		return // its refusal crossed the arrival
	}
	r := &request{
		RequestArrived: e,
		arrivedAt:      s.now,
		deadline:       s.now.Add(maxTimeout),
		verdict:        model.NotRun,
		notAfter:       model.Never,
	}
	s.requests[e.Request] = r
	if s.stopping {
		s.stopSummary.Arrived++
	}
	if reason := s.matchRequest(r); reason != "" {
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

// matchRequest finds the request's route and account. It returns the reason to
// refuse the request, empty if there is none.
func (s *State) matchRequest(r *request) model.Reason {
	if s.now >= s.arrivalsUntil {
		return model.ReasonStopping
	}
	if s.snapshot == nil {
		return model.ReasonNotReady
	}
	route, ok := s.snapshot.Match(r.Host, r.Path)
	if !ok {
		return s.reasonIfCurrent(model.ReasonNoRoute)
	}
	r.route = route
	if route.Unusable {
		return model.ReasonUnusable
	}
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
	account, reason := s.authorize(r)
	r.account = account
	return reason
}

// authorize checks the request's API key against the active snapshot and returns the
// account that has it, empty on an open route, or the reason to refuse the request.
// It runs again before each forward, because a key may be revoked or moved to
// another account in between.
func (s *State) authorize(r *request) (model.AccountID, model.Reason) {
	// Where key revocation is bounded, the check below needs a recent
	// confirmation for each key, so an open route does not depend on the store.
	needsStore := !r.route.Open || s.snapshot.KeyRevocationDelay <= 0
	if needsStore && (s.isIsolated() || s.isConfigBehind()) {
		return "", model.ReasonIsolated
	}
	if r.route.Open {
		return "", ""
	}
	if s.now >= s.keysValidUntil() {
		return "", model.ReasonKeysUnconfirmed
	}
	if !r.HasKey {
		return "", s.reasonIfCurrent(model.ReasonKeyMissing)
	}
	account, ok := s.snapshot.AccountOf(r.Key)
	if !ok {
		return "", s.reasonIfCurrent(model.ReasonKeyUnknown)
	}
	if account.Unusable {
		return "", model.ReasonUnusable
	}
	if !account.Allows(r.route) {
		return "", s.reasonIfCurrent(model.ReasonAccountRoute)
	}
	return account.ID, ""
}

// reasonIfCurrent returns the reason if the active configuration is the newest
// known and was confirmed recently. Otherwise a newer one may allow the
// request, and the reason is that this host is not ready, so that the caller
// may retry.
func (s *State) reasonIfCurrent(reason model.Reason) model.Reason {
	isConfirmed := s.snapshot.KeyRevocationDelay <= 0 || s.now < s.config.confirmedAt.Add(maxNotFoundAge)
	if s.isConfigCurrent() && isConfirmed {
		return reason
	}
	return model.ReasonNotReady
}

// advance runs the stages of a request until it waits or ends, and forwards it
// after the last.
func (s *State) advance(r *request) {
	if s.attemptsEnded {
		s.endForStop(r)
		return
	}
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
	if r.isReadmitted && r.stage != stageAdmit {
		return stepNext
	}
	switch r.stage {
	case stageAdmit:
		return s.admit(r)
	case stageClaim:
		return s.claimIdempotencyKey(r)
	default:
		return s.place(r)
	}
}

func (s *State) forward(r *request) {
	account, reason := s.authorize(r)
	switch {
	case reason != "":
		s.refuseForward(r, reason)
		return
	case account != r.account && r.attempts == 0:
		s.restartFor(r, account)
		return
	case account != r.account:
		r.account = account // like any retry, this one takes no further token
	case !s.ensureToken(r):
		return
	}
	if !s.mayBeSentTo(r, r.server) {
		s.moveToAllowed(r)
		return
	}
	r.attempts++
	r.number = r.attempts
	r.isRunning = true
	s.spendToken(r)
	s.startLateTimer(r)
	notAfter := min(r.deadline, s.authorizedUntil(r), r.sendBy) // apart from the token
	s.emit(effect.Forward{
		Request:          r.Request,
		Server:           r.server,
		Account:          r.account,
		AccountName:      s.accountName(r.account),
		Class:            r.route.Class,
		NotAfter:         min(r.notAfter, notAfter),
		Deadline:         r.deadline,
		MaxRetainedBytes: s.retainedAnswerLimit(r),
		Cancellable:      r.route.Idempotent,
		Attempt:          r.attempts,

		NotAfterOnceWritten: notAfter,
	})
}

// refuseForward refuses a request whose key is no longer accepted. A request that
// was sent before ends with the failure of its last attempt: its key was valid, and
// its caller may repeat it.
func (s *State) refuseForward(r *request, reason model.Reason) {
	if r.attempts > 0 {
		r.noRetry = model.NoRetryKey
		reason = cmp.Or(r.lastFailure, model.ReasonTimedOut)
	}
	s.releasePlacement(r)
	s.endUnserved(r, reason, 0)
}

// restartFor starts a request again that was not sent yet, for the account to which
// its key was moved meanwhile.
func (s *State) restartFor(r *request, account model.AccountID) {
	s.releaseAdmission(r)
	s.releasePlacement(r)
	s.endClaim(r, nil)
	r.notAfter = model.Never
	r.isReadmitted = false
	r.account = account
	r.stage = stageAdmit
	s.advance(r)
}

// authorizedUntil returns the instant after which the request's API key needs
// a new confirmation.
func (s *State) authorizedUntil(r *request) model.Instant {
	if r.route.Open {
		return model.Never
	}
	return s.keysValidUntil()
}

// accountName returns the name under which servers are told of an account.
func (s *State) accountName(id model.AccountID) string {
	if account, ok := s.snapshot.Accounts[id]; ok && account.Name != "" {
		return account.Name
	}
	return string(id)
}

func (s *State) onAttemptEnded(e event.AttemptEnded) {
	r, ok := s.requests[e.Request]
	if !ok || r.stage > stageForward {
		return
	}
	if i := r.hedgedIndex(e.Attempt); i >= 0 {
		s.onHedgedEnded(r, i, e.Result)
		return
	}
	if !r.isRunning || e.Attempt != r.number {
		return
	}
	r.isRunning = false
	r.triedServers = append(r.triedServers, r.server)
	s.recordAttemptEnd(r, &r.attempt, e.Result)
	if isAnswer(e.Result) && !isServerError(e.Result) {
		s.deliver(r, e.Result)
		return
	}
	r.keepFallback(r.attempt, e.Result)
	if s.mayRetry(r, e.Result) {
		s.placeAgain(r)
		return
	}
	s.endUnserved(r, attemptReason(e.Result), s.pausedFor(r))
}

// placeAgain chooses a server for a further attempt.
func (s *State) placeAgain(r *request) {
	r.stage = stagePlace
	s.timers.Set(timerKey{timerRequest, uint64(r.Request)}, r.deadline)
	s.advance(r)
}

// recordAttemptEnd records what the end of an attempt says about the request and
// the attempt's server.
func (s *State) recordAttemptEnd(r *request, a *attempt, result model.AttemptResult) {
	s.recordAttempt(r, a, result)
	if result.Verdict != model.NotRun {
		r.verdict = result.Verdict
	}
	r.lastFailure = cmp.Or(attemptReason(result), model.ReasonServerFailed)
	if reachedServer(result) {
		r.notAfter = model.Never // the token was used before it expired
	}
}

// isAnswer reports whether the attempt ended with a server's answer to the request.
func isAnswer(result model.AttemptResult) bool { return result.Reason == "" && !result.Shed }

// reachedServer reports whether the attempt was sent.
func reachedServer(result model.AttemptResult) bool {
	return result.Shed || result.Verdict != model.NotRun
}

// isServerError reports whether the server answered with an error that another
// server might not return.
func isServerError(result model.AttemptResult) bool {
	return result.Status >= 500 && result.Status <= 504 && result.Status != 501 && !result.Streaming
}

// mayRetry reports whether another attempt is safe, in time and within the
// retry budget.
func (s *State) mayRetry(r *request, result model.AttemptResult) bool {
	wasRefusedLate := r.isLate && r.noRetry != "" && result.Reason == model.ReasonTimedOut
	if wasRefusedLate {
		return false
	}
	r.noRetry = s.checkRetry(r)
	if r.noRetry == "" {
		r.noRetry = s.consumeRetry(r, result)
	}
	return r.noRetry == ""
}

// checkRetry returns what forbids another attempt, apart from the result of the
// last one.
func (s *State) checkRetry(r *request) model.NoRetry {
	switch {
	case r.verdict != model.NotRun && !r.route.Idempotent:
		return model.NoRetryMayHaveRun
	case s.now >= r.deadline || s.now >= r.notAfter:
		return model.NoRetryTime
	case r.callerLeft:
		return model.NoRetryCallerLeft
	case s.attemptsEnded:
		return model.NoRetryStopping
	case !s.isAuthorized(r):
		return model.NoRetryKey
	default:
		return ""
	}
}

func (s *State) isAuthorized(r *request) bool {
	_, reason := s.authorize(r)
	return reason == ""
}

func attemptReason(result model.AttemptResult) model.Reason {
	if result.Shed {
		return model.ReasonOverloaded
	}
	return result.Reason
}

// deliver answers the request with the response of its latest attempt.
func (s *State) deliver(r *request, result model.AttemptResult) {
	r.stage = stageAnswer
	r.result = model.Delivered
	s.cancelHedged(r)
	if !result.Streaming {
		s.releasePlacement(r)
	}
	s.endClaim(r, result.Answer)
	s.emit(effect.Deliver{Request: r.Request, Attempt: r.number, Deadline: r.deadline})
}

// endUnserved ends a request that gets no further attempt. Hedged attempts may still
// answer it: while one is running, the request only waits.
func (s *State) endUnserved(r *request, reason model.Reason, retryAfter time.Duration) {
	switch {
	case len(r.hedged) > 0:
		r.stage = stageForward
	case r.fallback.number > 0:
		r.attempt = r.fallback
		s.deliver(r, r.fallbackResult)
	default:
		s.refuse(r, reason, retryAfter)
	}
}

// refuse answers the request with a reason and the verdict on whether it ran.
func (s *State) refuse(r *request, reason model.Reason, retryAfter time.Duration) {
	r.stage = stageAnswer
	r.result = model.Refused
	if r.attempts > 0 {
		r.result = model.Failed
	}
	r.reason = reason
	s.refusals[refusalKey{r.account, reason}]++
	s.cancelHedged(r)
	s.releaseAdmission(r)
	s.releasePlacement(r)
	s.endClaim(r, nil)
	s.emit(effect.Refuse{
		Request:    r.Request,
		Reason:     reason,
		Verdict:    r.verdict,
		RetryAfter: model.Instant(retryAfter),
	})
}

// replay answers the request with the retained answer to the first use of its
// key.
func (s *State) replay(r *request, answer model.Response) {
	r.stage = stageAnswer
	r.result = model.Delivered
	r.verdict = model.Ran
	s.emit(effect.Replay{Request: r.Request, Answer: answer})
}

// onRequestDeadline ends a request that is still waiting. A running attempt
// ends by itself at the same deadline; its timer only says that it is late.
func (s *State) onRequestDeadline(id model.RequestID) {
	r, ok := s.requests[id]
	switch {
	case !ok || r.stage > stageForward:
	case r.stage == stageForward:
		s.onLateTimer(r)
	default:
		s.releasePlacement(r)
		s.endUnserved(r, model.ReasonTimedOut, 0)
	}
}

// onCallerLeft ends a request that is still waiting. A running attempt ends by
// itself, or continues where its work must not be interrupted.
func (s *State) onCallerLeft(e event.CallerLeft) {
	r, ok := s.requests[e.Request]
	if !ok {
		return
	}
	r.callerLeft = true
	if r.stage < stageForward {
		s.refuse(r, model.ReasonCallerLeft, 0)
	}
}

func (s *State) onResponseSent(e event.ResponseSent) {
	r, ok := s.requests[e.Request]
	if !ok {
		return
	}
	if r.result == model.Delivered {
		r.result = s.deliveryResult(r, e)
	}
	s.recordStreamEnd(r, e.ServerFailed)
	s.releasePlacement(r)
	s.recordOutcome(r, e)
	delete(s.requests, e.Request)
	s.timers.Cancel(timerKey{timerRequest, uint64(e.Request)})
	s.exitIfDrained()
}

func (s *State) deliveryResult(r *request, e event.ResponseSent) model.Result {
	if !e.Complete {
		return model.Failed
	}
	if s.now > r.deadline {
		return model.Late
	}
	return model.Delivered
}
