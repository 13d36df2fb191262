package decision

import (
	"cmp"

	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// defaultAttempts bounds the attempts for one request, the first included, on
// a route that sets no bound.
const defaultAttempts = 3

// requestPlacement is a request's reservation at a server, or its position in
// the queue for one.
type requestPlacement struct {
	isPlaced           bool           // holds a reservation at server and in the bulkhead
	isQueued           bool           // is in the queue of its service
	isDequeued         bool           // has just been removed from the queue
	serverStart        model.WallTime // of the server's process when it was chosen; 0: unknown
	placedAt           model.Instant
	successProbability float64       // of the server, estimated when it was chosen
	isProbe            bool          // server was chosen although it was suspected
	isRepeatable       bool          // the request may be sent to another server if this attempt fails
	isCountedUnserved  bool          // a signal has counted the request as unserved
	wasShort           bool          // the service was short of servers when server was chosen
	unsentAttempts     int           // attempts of which no byte was written
	lateAt             model.Instant // when the timer for a late attempt fires
	sentAt             model.Instant // start of the running attempt
	retryAt            model.Instant // when the running attempt may be cancelled for another one
	isLate             bool          // the running attempt has had no answer in time
	hasRetry           bool          // a retry was taken from the budget when the running attempt was late
	// streamedResult is the result of an attempt whose answer is still streaming.
	streamedResult *model.AttemptResult
}

// place selects a server for the request, or queues it.
func (s *State) place(r *request) step {
	pool := s.pool(r.service)
	if pool == nil || pool.IsEmpty() {
		s.refuse(r, model.ReasonNoServer, 0)
		return stepDone
	}
	if wait := pool.PausedFor(s.now); wait > 0 {
		s.refuse(r, model.ReasonOverloaded, wait)
		return stepDone
	}
	wasQueued := r.isDequeued
	r.isDequeued = false
	if !wasQueued && pool.QueueLength() > 0 {
		return s.enqueue(r, pool, r.attempts > 0)
	}
	info := s.pickInfo(r)
	server, ok := pool.Acquire(s.now, s.rand, info)
	if !ok {
		return s.enqueue(r, pool, wasQueued || r.attempts > 0)
	}
	if r.attempts == 0 {
		pool.CountRequest()
	}
	r.server = server
	r.serverStart = s.servers.roster.Start(server)
	r.isPlaced = true
	r.successProbability = pool.SuccessProbability(s.now, server)
	r.isProbe = pool.IsProbe(s.now, server)
	r.isRepeatable = info.IsRepeatable
	r.wasShort = pool.IsShort(s.now)
	r.placedAt = s.now
	return stepNext
}

// pickInfo returns what a request needs of its server.
func (s *State) pickInfo(r *request) placement.PickInfo {
	return placement.PickInfo{
		Tried:        r.triedServers,
		IsLarge:      r.route.Class.IsLarge(),
		IsRepeatable: r.route.Idempotent && r.attempts-r.unsentAttempts+1 < r.maxAttempts(),
	}
}

// maxAttempts returns the maximum number of attempts that reach a server.
func (r *request) maxAttempts() int { return cmp.Or(r.route.Attempts, defaultAttempts) }

// enqueue queues the request for a server. front is set for a request that was
// forwarded or removed from the queue before.
func (s *State) enqueue(r *request, pool *placement.Pool, front bool) step {
	result := pool.Enqueue(s.now, s.queueEntry(r), front)
	if result.Reason != "" {
		s.refuse(r, result.Reason, 0)
		return stepDone
	}
	r.isQueued = true
	if evicted, ok := s.requests[result.Evicted]; ok && evicted.isQueued {
		evicted.isQueued = false
		s.refuse(evicted, model.ReasonOverloaded, 0)
	}
	return stepWait
}

func (s *State) queueEntry(r *request) placement.QueuedRequest {
	w := placement.QueuedRequest{
		Request:  r.Request,
		Account:  r.account,
		Weight:   1,
		Deadline: r.deadline,
		NotAfter: queueDeadline(r),
	}
	if account, ok := s.snapshot.Accounts[r.account]; ok {
		w.Weight = max(account.Weight, 1)
	}
	return w
}

// releasePlacement releases the request's reservation at its server, or
// removes it from the queue.
func (s *State) releasePlacement(r *request) {
	wasPlaced, wasQueued := r.isPlaced, r.isQueued
	r.isPlaced, r.isQueued = false, false
	if !wasPlaced && !wasQueued {
		return
	}
	pool, ok := s.servers.pools[r.service]
	if !ok {
		return
	}
	if wasQueued {
		pool.Cancel(r.Request, r.account)
		return
	}
	pool.Release(r.server, s.now.Sub(r.placedAt))
	s.dispatchQueue(r.service)
}

// dispatchQueue advances queued requests in turn while there is capacity.
func (s *State) dispatchQueue(id model.ServiceID) {
	pool, ok := s.servers.pools[id]
	if !ok || s.servers.dispatching[id] {
		return
	}
	s.servers.dispatching[id] = true
	defer delete(s.servers.dispatching, id)
	for {
		w, reason, ok := pool.Dequeue(s.now)
		if !ok || !s.resumeQueued(w.Request, reason) {
			return
		}
	}
}

// resumeQueued advances a request that was removed from the queue. It reports
// false if the request was queued again because every server was full.
func (s *State) resumeQueued(id model.RequestID, reason model.Reason) bool {
	r, ok := s.requests[id]
	if !ok || !r.isQueued || r.stage != stagePlace {
		return true
	}
	r.isQueued = false
	if reason != "" {
		s.refuse(r, reason, 0)
		return true
	}
	r.isDequeued = true
	s.advance(r)
	return !r.isQueued
}

// maxUnsentAttempts bounds the attempts of a request that reached no server.
const maxUnsentAttempts = 3

// consumeRetry takes one retry from the service's retry budget, unless the request
// has one already. It returns why it may not: the budget is spent, no other server
// is left, or the failure is not the server's. A request that did not reach a
// server costs no retry.
func (s *State) consumeRetry(r *request, result model.AttemptResult) model.NoRetry {
	pool := s.pool(r.service)
	isCancelled := r.hasRetry && result.Reason == model.ReasonTimedOut
	switch {
	case !isCancelled && !isRetryable(result):
		return model.NoRetryResult
	case pool == nil || !pool.HasUntried(r.triedServers) || pool.PausedFor(s.now) > 0:
		return model.NoRetryNoServer
	case !reachedServer(result):
		r.unsentAttempts++
		if r.unsentAttempts > maxUnsentAttempts {
			return model.NoRetryNoServer
		}
		return ""
	case r.attempts-r.unsentAttempts >= r.maxAttempts():
		return model.NoRetryMaxAttempts
	case !r.hasRetry && !pool.TakeRetry(s.now, s.rand):
		return model.NoRetryBudget
	default:
		return ""
	}
}

func isRetryable(result model.AttemptResult) bool {
	if result.Shed || isServerError(result) {
		return true
	}
	return result.Reason == model.ReasonServerFailed || result.Reason == model.ReasonBadAnswer
}

// queueDeadline returns until when the request may wait in the queue, apart
// from its deadline. Only a request with a claim is bound by its token,
// because it keeps it; others get a new one when theirs expires.
func queueDeadline(r *request) model.Instant {
	if !r.holdsClaim {
		return model.Never
	}
	return r.notAfter
}
