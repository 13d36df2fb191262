package telemetry

import (
	"context"
	"errors"
	"sync"
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
)

// statusTimeout bounds the wait for the control goroutine. If it does not answer
// within this time, it does not serve requests either.
const statusTimeout = 2 * time.Second

var errStatusTimeout = errors.New("the control loop does not answer")

// Loop is the part of the control loop that this package uses.
type Loop interface{ Post(event.Body) bool }

// statusQueries matches the control loop's status reports to the pending queries.
type statusQueries struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan effect.Status
}

// query requests the host's status from the control loop and waits for it.
func (q *statusQueries) query(ctx context.Context, loop Loop) (effect.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	id, answer := q.add()
	defer q.remove(id)
	// In its own goroutine, because Post blocks while the loop's queue is full.
	go loop.Post(event.StatusRequested{Query: id})
	select {
	case status := <-answer:
		return status, nil
	case <-ctx.Done():
		return effect.Status{}, errStatusTimeout
	}
}

func (q *statusQueries) add() (uint64, <-chan effect.Status) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastID++
	answer := make(chan effect.Status, 1)
	q.pending[q.lastID] = answer
	return q.lastID, answer
}

func (q *statusQueries) remove(id uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, id)
}

func (q *statusQueries) deliver(f effect.ReportStatus) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if answer, ok := q.pending[f.Query]; ok {
		answer <- f.Status
		delete(q.pending, f.Query)
	}
}
