package decision

import (
	"cmp"

	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// defaultAttempts bounds the attempts for one request, the first included, on
// a route that sets no bound.
const defaultAttempts = 3

// requestPlacement is a request's place in the queue of its service, or its
// attempts at servers.
type requestPlacement struct {
	attempt           // the latest one, or the one whose answer is delivered
	hedged  []attempt // earlier attempts that are late and still running
	// fallback is the last attempt that ended with an answer of its server, an error;
	// number is 0 if there is none. It is delivered if no other attempt does better.
	fallback          attempt
	fallbackResult    model.AttemptResult
	isQueued          bool // is in the queue of its service
	isDequeued        bool // has just been removed from the queue
	foundFull         bool // was queued the last time because every server was full
	isCountedUnserved bool // a signal has counted the request as unserved
	unsentAttempts    int  // attempts of which no byte was written
	// streamedResult is the result of an attempt whose answer is still streaming.
	streamedResult *model.AttemptResult
}

// place selects a server for the request, or queues it.
func (s *State) place(r *request) step {
	pool := s.pool(r.service)
	regions := s.allowedRegions(r)
	if pool == nil || pool.IsEmpty(regions) {
		s.endUnserved(r, model.ReasonNoServer, 0)
		return stepDone
	}
	if wait := pool.PausedFor(s.now, regions); wait > 0 {
		s.endUnserved(r, model.ReasonOverloaded, wait)
		return stepDone
	}
	wasQueued := r.isDequeued
	r.isDequeued, r.foundFull = false, false
	working := r.workingServers()
	if len(working) > 0 && !pool.HasRoomBeside(s.now, working, regions) {
		s.endUnserved(r, model.ReasonOverloaded, 0)
		return stepDone
	}
	if len(working) == 0 {
		if wait := s.refuseCold(r, pool); wait > 0 {
			s.endUnserved(r, model.ReasonServersCold, wait)
			return stepDone
		}
	}
	if !wasQueued && pool.HasWaiting(s.now) {
		return s.enqueue(r, pool, r.attempts > 0)
	}
	info := s.pickInfo(r)
	server, ok := pool.Acquire(s.now, s.rand, info)
	if !ok {
		r.foundFull = true
		return s.enqueue(r, pool, wasQueued || r.attempts > 0)
	}
	if r.attempts == 0 {
		pool.CountRequest()
	}
	r.attempt = attempt{
		server:             server,
		serverStart:        s.servers.roster.Start(server),
		isPlaced:           true,
		placedAt:           s.now,
		sendBy:             pool.SendBy(s.now, server),
		successProbability: pool.SuccessProbability(s.now, server),
		isProbe:            pool.IsProbe(s.now, server),
		isRepeatable:       info.IsRepeatable,
		wasShort:           pool.IsShort(s.now),
	}
	return stepNext
}

// pickInfo returns what a request needs of its server.
func (s *State) pickInfo(r *request) placement.PickInfo {
	return placement.PickInfo{
		Tried:        r.triedServers,
		Working:      r.workingServers(),
		Regions:      s.allowedRegions(r),
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
		s.endUnserved(r, result.Reason, 0)
		return stepDone
	}
	r.isQueued = true
	if evicted, ok := s.requests[result.Evicted]; ok && evicted.isQueued {
		evicted.isQueued = false
		s.endUnserved(evicted, model.ReasonOverloaded, 0)
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
		Regions:  s.allowedRegions(r),
	}
	if account, ok := s.snapshot.Accounts[r.account]; ok {
		w.Weight = max(account.Weight, 1)
	}
	return w
}

// releasePlacement releases the reservation of the request's latest attempt, or
// removes the request from the queue.
func (s *State) releasePlacement(r *request) {
	if !r.isQueued {
		s.releaseServer(r, &r.attempt)
		return
	}
	r.isQueued = false
	if pool, ok := s.servers.pools[r.service]; ok {
		pool.Cancel(r.Request, r.account)
	}
}

// releaseServer releases the reservation that an attempt holds at its server.
func (s *State) releaseServer(r *request, a *attempt) {
	if !a.isPlaced {
		return
	}
	a.isPlaced = false
	if pool, ok := s.servers.pools[r.service]; ok {
		pool.Release(a.server, s.now.Sub(a.placedAt))
		s.dispatchQueue(r.service)
	}
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
// false if the request was queued again because every server was full. One that was
// queued again behind others, since its key has moved to another account or its regions
// have changed, holds up none of them.
func (s *State) resumeQueued(id model.RequestID, reason model.Reason) bool {
	r, ok := s.requests[id]
	if !ok || !r.isQueued || r.stage != stagePlace {
		return true
	}
	r.isQueued = false
	if reason != "" {
		s.endUnserved(r, reason, 0)
		return true
	}
	r.isDequeued = true
	s.advance(r)
	return !r.isQueued || !r.foundFull
}

// maxUnsentAttempts bounds the attempts of a request that reached no server.
const maxUnsentAttempts = 3

// consumeRetry takes one retry from the service's retry budget. It returns why it
// may not: the budget is spent, no other server is left, or the failure is not the
// server's. A request that did not reach a server costs no retry.
func (s *State) consumeRetry(r *request, result model.AttemptResult) model.NoRetry {
	pool := s.pool(r.service)
	switch {
	case !isRetryable(result) && !s.missedSendTime(&r.attempt, result):
		return model.NoRetryResult
	case pool == nil || !s.hasOtherServer(r, pool, r.triedServers):
		return model.NoRetryNoServer
	case !reachedServer(result):
		r.unsentAttempts++
		if r.unsentAttempts > maxUnsentAttempts {
			return model.NoRetryNoServer
		}
		return ""
	case r.attempts-r.unsentAttempts >= r.maxAttempts():
		return model.NoRetryMaxAttempts
	case !pool.TakeRetry(s.now, s.rand):
		return model.NoRetryBudget
	default:
		return ""
	}
}

func isRetryable(result model.AttemptResult) bool {
	if result.Shed || isServerError(result) {
		return true
	}
	switch result.Reason {
	case model.ReasonServerFailed, model.ReasonBadAnswer, model.ReasonServerWithdrawn:
		return true
	default:
		return false
	}
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
