package telemetry

import (
	"context"
	"errors"
	"sync"
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
)

// statusTimeout bounds the wait for the control goroutine. One that does not
// answer in this time does not serve callers either.
const statusTimeout = 2 * time.Second

var errNoStatus = errors.New("the control loop does not answer")

// Loop is the part of the control loop that takes queries.
type Loop interface{ Post(event.Body) bool }

// queries holds those who wait for a status.
type queries struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan effect.Status
}

// ask posts a query and waits for its answer.
func (q *queries) ask(ctx context.Context, loop Loop) (effect.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	id, answer := q.add()
	defer q.remove(id)
	// Post blocks while the loop's backlog is full.
	go loop.Post(event.StatusRequested{Query: id})
	select {
	case status := <-answer:
		return status, nil
	case <-ctx.Done():
		return effect.Status{}, errNoStatus
	}
}

func (q *queries) add() (uint64, <-chan effect.Status) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.last++
	answer := make(chan effect.Status, 1)
	q.waiting[q.last] = answer
	return q.last, answer
}

func (q *queries) remove(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, id)
}

func (q *queries) answer(f effect.ReportStatus) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answer, ok := q.waiting[f.Query]; ok {
		answer <- f.Status
		delete(q.waiting, f.Query)
	}
}
