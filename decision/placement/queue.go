package placement

import (
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

// Waiting is a request in a queue.
type Waiting struct {
	Request  model.RequestID
	Account  model.AccountID // empty on an open route
	Weight   int             // of the account; at least 1 is assumed
	Deadline model.Instant
	NotAfter model.Instant // an attempt may not start after this
}

// queue is a deficit round robin over client accounts, each with a queue in
// order of arrival. Every request costs 1.
type queue struct {
	flows  map[model.AccountID]*flow
	ring   []*flow // accounts that have requests waiting
	next   int     // index in ring of the flow that is served
	length int
}

type flow struct {
	account model.AccountID
	weight  int
	deficit int // requests that may go before the next account's turn
	items   []Waiting
}

func newQueue() queue { return queue{flows: make(map[model.AccountID]*flow)} }

// push adds a request at the end of its account's queue, or at the front for
// one that was started before.
func (q *queue) push(w Waiting, front bool) {
	f, ok := q.flows[w.Account]
	if !ok {
		f = &flow{account: w.Account}
		q.flows[w.Account] = f
		q.ring = append(q.ring, f)
	}
	f.weight = max(w.Weight, 1)
	q.length++
	if front {
		f.items = slices.Insert(f.items, 0, w)
		return
	}
	f.items = append(f.items, w)
}

// pop removes the next request in turn.
func (q *queue) pop() (Waiting, bool) {
	if q.length == 0 {
		return Waiting{}, false
	}
	f := q.ring[q.next]
	if f.deficit <= 0 {
		f.deficit = f.weight
	}
	w := f.items[0]
	f.items = f.items[1:]
	f.deficit--
	q.length--
	switch {
	case len(f.items) == 0:
		q.drop(f)
	case f.deficit == 0:
		q.next = (q.next + 1) % len(q.ring)
	}
	return w, true
}

// drop removes an empty flow. Its unused deficit is lost, so that an account
// saves nothing up while it is idle.
func (q *queue) drop(f *flow) {
	i := slices.Index(q.ring, f)
	q.ring = slices.Delete(q.ring, i, i+1)
	delete(q.flows, f.account)
	if i < q.next {
		q.next--
	}
	if q.next >= len(q.ring) {
		q.next = 0
	}
}

// remove takes a request out of its account's queue.
func (q *queue) remove(id model.RequestID, account model.AccountID) bool {
	f, ok := q.flows[account]
	if !ok {
		return false
	}
	i := slices.IndexFunc(f.items, func(w Waiting) bool { return w.Request == id })
	if i < 0 {
		return false
	}
	f.items = slices.Delete(f.items, i, i+1)
	q.length--
	if len(f.items) == 0 {
		q.drop(f)
	}
	return true
}

// ahead returns how many requests go before a new one of the account.
func (q *queue) ahead(account model.AccountID, weight int) int {
	own := 0
	if f, ok := q.flows[account]; ok {
		own = len(f.items)
	}
	turns := own/max(weight, 1) + 1
	n := own
	for _, f := range q.ring {
		if f.account != account {
			n += min(len(f.items), turns*f.weight)
		}
	}
	return n
}

// longest returns the flow with the most requests for its weight.
func (q *queue) longest() *flow {
	var longest *flow
	for _, f := range q.ring {
		if longest == nil || len(f.items)*longest.weight > len(longest.items)*f.weight {
			longest = f
		}
	}
	return longest
}

// evictFor makes room for a request of the account: it removes the newest
// request of the account that has the most waiting for its weight. It reports
// false when that would be no other account.
func (q *queue) evictFor(account model.AccountID, weight int) (Waiting, bool) {
	victim := q.longest()
	if victim == nil || victim.account == account {
		return Waiting{}, false
	}
	own := 0
	if f, ok := q.flows[account]; ok {
		own = len(f.items)
	}
	if (own+1)*victim.weight >= len(victim.items)*max(weight, 1) {
		return Waiting{}, false
	}
	w := victim.items[len(victim.items)-1]
	q.remove(w.Request, w.Account)
	return w, true
}

// Queued is the answer to Enqueue. The zero value is a refusal as overloaded.
type Queued struct {
	// Reason is empty when the request waits, else why it is refused.
	Reason model.Reason
	// Evicted is a request that has to be refused in its place, 0 for none.
	Evicted model.RequestID
}

// Enqueue makes a request wait for a place. It refuses at once a request that
// cannot meet its deadline, and one that finds the queue full of requests that
// have as good a claim. front is for a request that was started before.
func (p *Pool) Enqueue(now model.Instant, w Waiting, front bool) Queued {
	if reason := p.tooLate(now, w); reason != "" {
		return Queued{Reason: reason}
	}
	if p.queue.length < p.limits.Queue {
		p.queue.push(w, front)
		return Queued{}
	}
	evicted, ok := p.queue.evictFor(w.Account, w.Weight)
	if !ok {
		return Queued{Reason: model.ReasonOverloaded}
	}
	p.queue.push(w, front)
	return Queued{Evicted: evicted.Request}
}

// tooLate returns why a request that joins the queue now cannot be done in
// time, empty if it can.
func (p *Pool) tooLate(now model.Instant, w Waiting) model.Reason {
	needed := p.heldFast.Value()
	if now.Add(needed) > w.Deadline {
		return model.ReasonDeadlineTooShort
	}
	start := now.Add(p.wait(p.queue.ahead(w.Account, w.Weight)))
	if start > w.NotAfter || start.Add(needed) > w.Deadline {
		return model.ReasonOverloaded
	}
	return ""
}

// wait returns how long a request waits that has n others ahead of it: places
// become free in-flight times in each mean holding time.
func (p *Pool) wait(n int) time.Duration {
	return p.held.Value() * time.Duration(n+1) / time.Duration(max(p.inFlight, 1))
}

// Next removes the request whose turn it is while the bulkhead has room.
// reason is not empty when the request can no longer be done in time.
func (p *Pool) Next(now model.Instant) (w Waiting, reason model.Reason, ok bool) {
	if !p.HasRoom() {
		return Waiting{}, "", false
	}
	w, ok = p.queue.pop()
	if !ok {
		return Waiting{}, "", false
	}
	if now > w.NotAfter || now.Add(p.heldFast.Value()) > w.Deadline {
		return w, model.ReasonOverloaded, true
	}
	return w, "", true
}

// Cancel takes a waiting request out of the queue.
func (p *Pool) Cancel(id model.RequestID, account model.AccountID) bool {
	return p.queue.remove(id, account)
}

// QueueLength returns the number of waiting requests.
func (p *Pool) QueueLength() int { return p.queue.length }
