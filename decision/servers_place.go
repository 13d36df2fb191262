package decision

import (
	"cmp"

	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// defaultAttempts bounds the attempts for one request, the first included, on a
// route that does not say.
const defaultAttempts = 3

// placing is a request's place at a server, or in the queue for one.
type placing struct {
	placed   bool // holds a place at server and in the bulkhead
	queued   bool // waits in the queue of its service
	onTurn   bool // was taken from the queue just now
	placedAt model.Instant
	trust    float64 // in server, when it was chosen
	unsent   int     // attempts of which no byte was written
	// streamed is the result of an attempt whose answer still flows.
	streamed *model.AttemptResult
}

// place chooses a server for the request or queues it.
func (s *State) place(r *request) step {
	pool := s.pool(r.service)
	if pool == nil || pool.IsEmpty() {
		s.refuse(r, model.ReasonNoServer, 0)
		return stepDone
	}
	wasQueued := r.onTurn
	r.onTurn = false
	if !wasQueued && pool.QueueLength() > 0 {
		return s.enqueue(r, pool, r.attempts > 0)
	}
	server, ok := pool.Take(s.now, s.rand, s.demand(r))
	if !ok {
		return s.enqueue(r, pool, wasQueued || r.attempts > 0)
	}
	if r.attempts == 0 {
		pool.CountRequest()
	}
	r.server = server
	r.placed = true
	r.trust = pool.Trust(s.now, server)
	r.placedAt = s.now
	return stepNext
}

// demand returns what a request needs of its server.
func (s *State) demand(r *request) placement.Demand {
	return placement.Demand{
		Tried:        r.tried,
		IsLarge:      r.route.Class == model.Batch,
		IsRepeatable: r.route.Idempotent && r.attempts-r.unsent+1 < r.mostAttempts(),
	}
}

// mostAttempts returns how many servers the request may be sent to.
func (r *request) mostAttempts() int { return cmp.Or(r.route.Attempts, defaultAttempts) }

// enqueue makes the request wait for a place. front is for a request that was
// started or in turn before.
func (s *State) enqueue(r *request, pool *placement.Pool, front bool) step {
	answer := pool.Enqueue(s.now, s.waiting(r), front)
	if answer.Reason != "" {
		s.refuse(r, answer.Reason, 0)
		return stepDone
	}
	r.queued = true
	if victim, ok := s.requests[answer.Evicted]; ok && victim.queued {
		victim.queued = false
		s.refuse(victim, model.ReasonOverloaded, 0)
	}
	return stepWait
}

func (s *State) waiting(r *request) placement.Waiting {
	w := placement.Waiting{
		Request:  r.Request,
		Account:  r.account,
		Weight:   1,
		Deadline: r.deadline,
		NotAfter: queueUntil(r),
	}
	if account, ok := s.snapshot.Accounts[r.account]; ok {
		w.Weight = max(account.Weight, 1)
	}
	return w
}

// unplace gives back the request's place at its server, if it has one, or in
// the queue.
func (s *State) unplace(r *request) {
	wasPlaced, wasQueued := r.placed, r.queued
	r.placed, r.queued = false, false
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
	s.serveQueue(r.service)
}

// serveQueue advances the requests in turn while there is room.
func (s *State) serveQueue(id model.ServiceID) {
	pool, ok := s.servers.pools[id]
	if !ok || s.servers.serving[id] {
		return
	}
	s.servers.serving[id] = true
	defer delete(s.servers.serving, id)
	for {
		w, reason, ok := pool.Next(s.now)
		if !ok || !s.resume(w.Request, reason) {
			return
		}
	}
}

// resume advances a request that was taken from the queue. It reports false
// when the request went back, because every server was full.
func (s *State) resume(id model.RequestID, reason model.Reason) bool {
	r, ok := s.requests[id]
	if !ok || !r.queued || r.stage != stagePlace {
		return true
	}
	r.queued = false
	if reason != "" {
		s.refuse(r, reason, 0)
		return true
	}
	r.onTurn = true
	s.advance(r)
	return !r.queued
}

// maxUnsent bounds the servers that a request could not be sent to.
const maxUnsent = 3

// takeRetry takes one retry from the budget. It reports false when the budget
// is spent, no other server is left, or the failure is not one of the server. A
// request that did not reach a server costs no retry.
func (s *State) takeRetry(r *request, result model.AttemptResult) bool {
	pool := s.pool(r.service)
	if pool == nil || !isRetried(result) || !pool.HasOther(r.tried) {
		return false
	}
	if !reachedServer(result) {
		r.unsent++
		return r.unsent <= maxUnsent
	}
	isLast := r.attempts-r.unsent >= r.mostAttempts()
	return !isLast && pool.TakeRetry(s.now, s.rand)
}

func isRetried(result model.AttemptResult) bool {
	if result.Shed || isServerError(result) {
		return true
	}
	return result.Reason == model.ReasonServerFailed || result.Reason == model.ReasonBadAnswer
}

// queueUntil returns until when the request may wait for a server beside its
// deadline. An idempotent one gets a new token when its own runs out.
func queueUntil(r *request) model.Instant {
	if !r.isHeld {
		return model.Never
	}
	return r.notAfter
}
