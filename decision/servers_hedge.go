package decision

import (
	"slices"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
)

// A late attempt of an idempotent request is hedged: it goes on while the request is
// sent to another server, and the first answer counts. Cancelling it at once would
// lose the answer of a slow server whenever the next attempt fails. A request with a
// running attempt does not wait in the queue for a further one: it would hold up
// others that have none.

// attempt is one attempt at a server.
type attempt struct {
	number             int // from 1; 0: none, or not sent yet
	server             model.ServerID
	serverStart        model.WallTime // of the server's process when it was chosen; 0: unknown
	isPlaced           bool           // holds a reservation at server and in the bulkhead
	placedAt           model.Instant
	sendBy             model.Instant // latest time to write the request; model.Never: as for the request
	successProbability float64       // of the server, estimated when it was chosen
	isProbe            bool          // server was chosen although it was suspected
	isRepeatable       bool          // the request may be sent to another server if this attempt fails
	wasShort           bool          // the service was short of servers when server was chosen
	isRunning          bool          // sent, and has not ended
	sentAt             model.Instant // start of the attempt
	lateAt             model.Instant // when the timer for a late attempt fires
	retryAt            model.Instant // when a further attempt may be started
	isLate             bool          // has had no answer in time
	isHedged           bool          // a further attempt was started while it was running
}

// hedge keeps the latest attempt running while the request gets a further one.
func (r *request) hedge() {
	r.isHedged = true
	r.triedServers = append(r.triedServers, r.server)
	r.hedged = append(r.hedged, r.attempt)
	r.attempt = attempt{}
}

// workingServers returns the servers of the attempts that are running.
func (r *request) workingServers() []model.ServerID {
	var working []model.ServerID
	for i := range r.hedged {
		working = append(working, r.hedged[i].server)
	}
	if r.isRunning {
		working = append(working, r.server)
	}
	return working
}

// hedgedIndex returns the index of the hedged attempt with the given number, -1 if
// there is none.
func (r *request) hedgedIndex(number int) int {
	return slices.IndexFunc(r.hedged, func(a attempt) bool { return a.number == number })
}

// onHedgedEnded handles the end of a hedged attempt. Its answer ends the request. If it
// fails and no other attempt is left, the request is sent again or ends.
func (s *State) onHedgedEnded(r *request, i int, result model.AttemptResult) {
	ended := r.hedged[i]
	ended.isRunning = false
	r.hedged = slices.Delete(r.hedged, i, i+1)
	if isAnswer(result) && !isServerError(result) {
		if r.isRunning {
			s.cancelAttempt(r, &r.attempt)
		}
		r.attempt = ended
		s.recordAttemptEnd(r, &r.attempt, result)
		s.deliver(r, result)
		return
	}
	r.keepFallback(ended, result)
	s.recordAttemptEnd(r, &ended, result)
	isLast := r.stage == stageForward && !r.isRunning && len(r.hedged) == 0
	switch {
	case isLast && s.mayRetry(r, result):
		s.placeAgain(r)
	case isLast:
		s.endUnserved(r, attemptReason(result), s.pausedFor(r))
	case !reachedServer(result):
		r.unsentAttempts++
	}
}

// keepFallback keeps an error answer of a server for the case that all other
// attempts fail.
func (r *request) keepFallback(a attempt, result model.AttemptResult) {
	if isAnswer(result) {
		r.fallback, r.fallbackResult = a, result
		r.fallback.isPlaced = false
	}
}

// cancelHedged cancels the hedged attempts of a request that ends.
func (s *State) cancelHedged(r *request) {
	hedged := r.hedged
	r.hedged = nil
	for i := range hedged {
		s.cancelAttempt(r, &hedged[i])
	}
}

// cancelAttempt cancels a running attempt. Its server may have run the request.
func (s *State) cancelAttempt(r *request, a *attempt) {
	a.isRunning = false
	r.cancelled = append(r.cancelled, a.server)
	if r.verdict == model.NotRun {
		r.verdict = model.MayHaveRun
	}
	s.emit(effect.CancelAttempt{Request: r.Request, Attempt: a.number})
	s.releaseServer(r, a)
}
