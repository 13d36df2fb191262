package frontend

import (
	"sync"

	"pollensail.dev/decision/effect"
)

// effectQueue holds the effects that wait for the goroutine of their request. It has
// no limit, because the control loop must not wait for that goroutine: a request has
// one effect for each of its attempts and one for its answer.
type effectQueue struct {
	ready chan struct{} // has an element if effects may be waiting

	mu      sync.Mutex
	waiting []effect.Effect
}

func newEffectQueue() effectQueue { return effectQueue{ready: make(chan struct{}, 1)} }

// push appends an effect. It does not block.
func (q *effectQueue) push(e effect.Effect) {
	q.mu.Lock()
	q.waiting = append(q.waiting, e)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// pop removes the oldest effect. It returns false if there is none.
func (q *effectQueue) pop() (effect.Effect, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return nil, false
	}
	e := q.waiting[0]
	q.waiting = q.waiting[1:]
	return e, true
}
