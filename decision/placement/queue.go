package placement

import (
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

// QueuedRequest is a request that waits for a slot of the bulkhead.
type QueuedRequest struct {
	Request  model.RequestID
	Account  model.AccountID // empty on a route without client accounts
	Weight   int             // of the account; values below 1 count as 1
	Deadline model.Instant
	NotAfter model.Instant // latest start of an attempt
	// Regions is PickInfo.Regions of the request.
	Regions []model.RegionID
}

// queue is a deficit round robin over client accounts (flows), each with a
// queue in order of arrival. Every request costs 1.
type queue struct {
	flows       map[model.AccountID]*flow
	activeFlows []*flow // flows that have queued requests
	nextFlow    int     // index in activeFlows of the flow that is being served
	length      int
}

type flow struct {
	account model.AccountID
	weight  int
	deficit int // requests that may still be served in the flow's turn
	items   []QueuedRequest
}

func newQueue() queue { return queue{flows: make(map[model.AccountID]*flow)} }

// push adds a request at the end of its account's queue, or at the front if it
// was forwarded or removed from the queue before.
func (q *queue) push(w QueuedRequest, front bool) {
	f, ok := q.flows[w.Account]
	if !ok {
		f = &flow{account: w.Account}
		q.flows[w.Account] = f
		q.activeFlows = append(q.activeFlows, f)
	}
	f.weight = max(w.Weight, 1)
	q.length++
	if front {
		f.items = slices.Insert(f.items, 0, w)
		return
	}
	f.items = append(f.items, w)
}

// pop removes the next request by round robin. It passes over requests that wait for
// a server of their regions, so that these hold up no others.
func (q *queue) pop(wait *regionWait) (QueuedRequest, bool) {
	for range q.activeFlows {
		f := q.activeFlows[q.nextFlow]
		if i := f.first(wait); i >= 0 {
			return q.take(f, i), true
		}
		q.nextFlow = (q.nextFlow + 1) % len(q.activeFlows)
	}
	return QueuedRequest{}, false
}

// take removes request i of the flow whose turn it is.
func (q *queue) take(f *flow, i int) QueuedRequest {
	if f.deficit <= 0 {
		f.deficit = f.weight
	}
	w := f.items[i]
	if i == 0 {
		f.items = f.items[1:]
	} else {
		f.items = slices.Delete(f.items, i, i+1)
	}
	f.deficit--
	q.length--
	switch {
	case len(f.items) == 0:
		q.removeFlow(f)
	case f.deficit == 0:
		q.nextFlow = (q.nextFlow + 1) % len(q.activeFlows)
	}
	return w
}

// removeFlow removes an empty flow. Its unused deficit is lost, so that an
// account saves up nothing while it is idle.
func (q *queue) removeFlow(f *flow) {
	i := slices.Index(q.activeFlows, f)
	q.activeFlows = slices.Delete(q.activeFlows, i, i+1)
	delete(q.flows, f.account)
	if i < q.nextFlow {
		q.nextFlow--
	}
	if q.nextFlow >= len(q.activeFlows) {
		q.nextFlow = 0
	}
}

// remove removes a request from its account's queue.
func (q *queue) remove(id model.RequestID, account model.AccountID) bool {
	f, ok := q.flows[account]
	if !ok {
		return false
	}
	i := slices.IndexFunc(f.items, func(w QueuedRequest) bool { return w.Request == id })
	if i < 0 {
		return false
	}
	f.items = slices.Delete(f.items, i, i+1)
	q.length--
	if len(f.items) == 0 {
		q.removeFlow(f)
	}
	return true
}

// requestsAhead returns how many queued requests are served before a new one of
// the account.
func (q *queue) requestsAhead(account model.AccountID, weight int) int {
	own := 0
	if f, ok := q.flows[account]; ok {
		own = len(f.items)
	}
	turns := own/max(weight, 1) + 1
	n := own
	for _, f := range q.activeFlows {
		if f.account != account {
			n += min(len(f.items), turns*f.weight)
		}
	}
	return n
}

// longest returns the flow with the most queued requests in relation to its
// weight.
func (q *queue) longest() *flow {
	var longest *flow
	for _, f := range q.activeFlows {
		if longest == nil || len(f.items)*longest.weight > len(longest.items)*f.weight {
			longest = f
		}
	}
	return longest
}

// evictFor makes room for a request of the account: it removes the newest
// request of the account that has the most queued in relation to its weight. It
// reports false when that is the same account, or when the new request would
// give this account as many in relation to its weight.
func (q *queue) evictFor(account model.AccountID, weight int) (QueuedRequest, bool) {
	victim := q.longest()
	if victim == nil || victim.account == account {
		return QueuedRequest{}, false
	}
	own := 0
	if f, ok := q.flows[account]; ok {
		own = len(f.items)
	}
	if (own+1)*victim.weight >= len(victim.items)*max(weight, 1) {
		return QueuedRequest{}, false
	}
	w := victim.items[len(victim.items)-1]
	q.remove(w.Request, w.Account)
	return w, true
}

// EnqueueResult is the result of Enqueue. The zero value means that the request
// is queued and that none was evicted.
type EnqueueResult struct {
	// Reason is empty when the request is queued, else why it is refused.
	Reason model.Reason
	// Evicted is a queued request that has to be refused in its place, 0 for
	// none.
	Evicted model.RequestID
}

// Enqueue queues a request until a slot is free. It refuses a request at once
// that cannot meet its deadline, and one that finds the queue full and may
// evict no other request. front is for a request that was forwarded or removed
// from the queue before.
func (p *Pool) Enqueue(now model.Instant, w QueuedRequest, front bool) EnqueueResult {
	if reason := p.refusalReason(now, w); reason != "" {
		return EnqueueResult{Reason: reason}
	}
	if p.queue.length < p.limits.Queue {
		p.queue.push(w, front)
		return EnqueueResult{}
	}
	evicted, ok := p.queue.evictFor(w.Account, w.Weight)
	if !ok {
		return EnqueueResult{Reason: model.ReasonOverloaded}
	}
	p.queue.push(w, front)
	return EnqueueResult{Evicted: evicted.Request}
}

// refusalReason returns why a request that joins the queue now cannot complete
// in time, empty if it can.
func (p *Pool) refusalReason(now model.Instant, w QueuedRequest) model.Reason {
	needed := p.fastHoldTime.Value()
	if now.Add(needed) > w.Deadline {
		return model.ReasonDeadlineTooShort
	}
	start := now.Add(p.waitBeforeStart(w))
	if start > w.NotAfter || start.Add(needed) > w.Deadline {
		return model.ReasonOverloaded
	}
	return ""
}

// estimatedWait returns how long a request with n others ahead of it waits. By
// Little's law, slots become free at the rate of requests in flight divided by
// the mean hold time.
func (p *Pool) estimatedWait(n, inFlight int) time.Duration {
	return p.holdTime.Value() * time.Duration(n+1) / time.Duration(max(inFlight, 1))
}

// Dequeue removes the next request from the queue if the bulkhead has capacity.
// reason is not empty when the request can no longer complete in time.
func (p *Pool) Dequeue(now model.Instant) (w QueuedRequest, reason model.Reason, ok bool) {
	if !p.HasRoom() {
		return QueuedRequest{}, "", false
	}
	w, ok = p.queue.pop(&regionWait{pool: p, now: now})
	if !ok {
		return QueuedRequest{}, "", false
	}
	if now > w.NotAfter || now.Add(p.fastHoldTime.Value()) > w.Deadline {
		return w, model.ReasonOverloaded, true
	}
	return w, "", true
}

// Cancel removes a request from the queue.
func (p *Pool) Cancel(id model.RequestID, account model.AccountID) bool {
	return p.queue.remove(id, account)
}

// QueueLength returns the number of queued requests.
func (p *Pool) QueueLength() int { return p.queue.length }
