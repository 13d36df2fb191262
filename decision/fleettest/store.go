package fleettest

import (
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

const (
	// storeDelay is the longest time that a request to the store, or its
	// answer, is in transit.
	storeDelay = 5 * time.Millisecond
	// storeTimeout is the time after which a call without an answer fails.
	storeTimeout = time.Second
)

// Store models the store's slot records.
type Store struct {
	// Down makes all calls fail.
	Down bool
	// Unreachable holds the hosts that cannot reach the store.
	Unreachable map[model.HostID]bool
	// LostAnswers is the share of calls that take effect but whose answer is
	// lost.
	LostAnswers float64
	Calls       int

	fleet   *Fleet
	records map[model.SlotID]versionedRecord
}

type versionedRecord struct {
	record  model.SlotRecord
	version uint64
}

func newStore(f *Fleet) *Store {
	return &Store{
		fleet:       f,
		Unreachable: make(map[model.HostID]bool),
		records:     make(map[model.SlotID]versionedRecord),
	}
}

// Record returns a slot's record and its version, 0 where there is none.
func (s *Store) Record(id model.SlotID) (model.SlotRecord, uint64) {
	v := s.records[id]
	return v.record, v.version
}

// call runs an operation at the store after a delay and posts the result to the
// host. answer makes the event; its argument is StoreUnavailable where the call
// fails or its answer is lost.
func (s *Store) call(h *Host, operation func() event.StoreError, answer func(event.StoreError) event.Body) {
	s.Calls++
	s.fleet.After(s.fleet.randomDelay(0, storeDelay), func() {
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
		s.fleet.After(s.fleet.randomDelay(0, storeDelay), func() { h.Post(body) })
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

// compareAndSwap writes a record if its version has not changed.
func (s *Store) compareAndSwap(h *Host, f effect.SwapSlot) {
	sentAt := h.Now()
	operation := func() event.StoreError {
		if s.records[f.Slot].version != f.Version {
			return event.StoreConflict
		}
		s.records[f.Slot] = versionedRecord{f.Record, f.Version + 1}
		return event.StoreOK
	}
	s.call(h, operation, func(e event.StoreError) event.Body {
		return event.SlotSwapped{Slot: f.Slot, Record: f.Record, Version: f.Version + 1, Error: e, SentAt: sentAt}
	})
}
