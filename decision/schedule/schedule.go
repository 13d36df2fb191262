// Package schedule is a priority queue of deadlines, a binary heap with an
// index by key. It works in virtual time and replaces timers inside the
// reducer: the host sets one real timer for the earliest deadline.
package schedule

import (
	"container/heap"

	"pollensail.dev/decision/model"
)

// Schedule is a set of deadlines, at most one for each key. The zero value is
// not usable; call New.
type Schedule[K comparable] struct {
	deadlines deadlineHeap[K]
	byKey     map[K]*deadline[K]
}

// New returns an empty schedule.
func New[K comparable]() *Schedule[K] {
	return &Schedule[K]{byKey: make(map[K]*deadline[K])}
}

// Set makes key due at the given instant, replacing its earlier deadline.
func (s *Schedule[K]) Set(key K, at model.Instant) {
	if d, ok := s.byKey[key]; ok {
		d.at = at
		heap.Fix(&s.deadlines, d.index)
		return
	}
	d := &deadline[K]{key: key, at: at}
	s.byKey[key] = d
	heap.Push(&s.deadlines, d)
}

// SetEarlier makes key due at the given instant unless it is due earlier.
func (s *Schedule[K]) SetEarlier(key K, at model.Instant) {
	if d, ok := s.byKey[key]; !ok || at < d.at {
		s.Set(key, at)
	}
}

// Cancel removes key's deadline, if any.
func (s *Schedule[K]) Cancel(key K) {
	d, ok := s.byKey[key]
	if !ok {
		return
	}
	heap.Remove(&s.deadlines, d.index)
	delete(s.byKey, key)
}

// Next returns the earliest deadline, or model.Never when there is none.
func (s *Schedule[K]) Next() model.Instant {
	if len(s.deadlines) == 0 {
		return model.Never
	}
	return s.deadlines[0].at
}

// Pop removes the earliest deadline if it is due at now, and returns its key. It
// reports false otherwise.
func (s *Schedule[K]) Pop(now model.Instant) (K, bool) {
	var zero K
	if s.Next() > now {
		return zero, false
	}
	d := heap.Pop(&s.deadlines).(*deadline[K])
	delete(s.byKey, d.key)
	return d.key, true
}

// Len returns the number of deadlines.
func (s *Schedule[K]) Len() int { return len(s.deadlines) }

type deadline[K comparable] struct {
	key   K
	at    model.Instant
	index int // in the heap
}

// deadlineHeap implements heap.Interface.
type deadlineHeap[K comparable] []*deadline[K]

func (h deadlineHeap[K]) Len() int           { return len(h) }
func (h deadlineHeap[K]) Less(i, j int) bool { return h[i].at < h[j].at }

func (h deadlineHeap[K]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *deadlineHeap[K]) Push(x any) {
	d := x.(*deadline[K])
	d.index = len(*h)
	*h = append(*h, d)
}

func (h *deadlineHeap[K]) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}
