package fleettest

import (
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

const (
	// storeDelay is the longest time that a call or its answer takes.
	storeDelay = 5 * time.Millisecond
	// storeTimeout is when a call without an answer ends.
	storeTimeout = time.Second
)

// Store is a model of the store's slot records.
type Store struct {
	// Down makes all calls fail.
	Down bool
	// Unreachable holds the hosts that cannot call the store.
	Unreachable map[model.HostID]bool
	// LostAnswers is the share of calls that take effect without an answer.
	LostAnswers float64
	Calls       int

	fleet   *Fleet
	records map[model.SlotID]versioned
}

type versioned struct {
	record  model.SlotRecord
	version uint64
}

func newStore(f *Fleet) *Store {
	return &Store{
		fleet:       f,
		Unreachable: make(map[model.HostID]bool),
		records:     make(map[model.SlotID]versioned),
	}
}

// Record returns a slot's record and its version, 0 where there is none.
func (s *Store) Record(id model.SlotID) (model.SlotRecord, uint64) {
	v := s.records[id]
	return v.record, v.version
}

// call runs an operation at the store some time later and posts its answer.
// answer gets StoreUnavailable where the answer is lost.
func (s *Store) call(h *Host, operation func() event.StoreError, answer func(event.StoreError) event.Body) {
	s.Calls++
	s.fleet.After(s.fleet.between(0, storeDelay), func() {
		isLost := s.Down || s.Unreachable[h.Ref.ID]
		result := event.StoreUnavailable
		if !isLost {
			result = operation()
		}
		if isLost || s.fleet.rand.Float64() < s.LostAnswers {
			s.fleet.After(storeTimeout, func() { h.Post(answer(event.StoreUnavailable)) })
			return
		}
		body := answer(result)
		s.fleet.After(s.fleet.between(0, storeDelay), func() { h.Post(body) })
	})
}

func (s *Store) read(h *Host, f effect.ReadSlot) {
	sentAt := h.Now()
	operation := func() event.StoreError { return event.StoreOK }
	s.call(h, operation, func(e event.StoreError) event.Body {
		v := s.records[f.Slot]
		return event.SlotRead{Slot: f.Slot, Record: v.record, Version: v.version, Error: e, SentAt: sentAt}
	})
}

func (s *Store) swap(h *Host, f effect.SwapSlot) {
	sentAt := h.Now()
	operation := func() event.StoreError {
		if s.records[f.Slot].version != f.Version {
			return event.StoreConflict
		}
		s.records[f.Slot] = versioned{f.Record, f.Version + 1}
		return event.StoreOK
	}
	s.call(h, operation, func(e event.StoreError) event.Body {
		return event.SlotSwapped{Slot: f.Slot, Record: f.Record, Version: f.Version + 1, Error: e, SentAt: sentAt}
	})
}
