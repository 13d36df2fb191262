package fleettest

import (
	"maps"
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

	fleet    *Fleet
	records  map[model.SlotID]storedRecord
	revision uint64 // of the last change; goes back with a restore
	restores uint64
}

// storedRecord is a record with the revision of its last change.
type storedRecord struct {
	record   model.SlotRecord
	revision uint64
}

// StoreCopy is the content of a Store at one instant.
type StoreCopy struct {
	records  map[model.SlotID]storedRecord
	revision uint64
}

// Copy returns the present content.
func (s *Store) Copy() StoreCopy { return StoreCopy{maps.Clone(s.records), s.revision} }

// Restore replaces the content by that of an older copy. Revisions are given out again.
func (s *Store) Restore(c StoreCopy) {
	s.records, s.revision = maps.Clone(c.records), c.revision
	s.restores++
}

// restoreShift is the position of the number of restores in a version, so that versions
// rise across restores.
const restoreShift = 44

// version returns the version of a record with a revision; 0 for none.
func (s *Store) version(revision uint64) uint64 {
	if revision == 0 {
		return 0
	}
	return s.restores<<restoreShift | revision
}

func newStore(f *Fleet) *Store {
	return &Store{
		fleet:       f,
		Unreachable: make(map[model.HostID]bool),
		records:     make(map[model.SlotID]storedRecord),
	}
}

// Record returns a slot's record and its version, 0 where there is none.
func (s *Store) Record(id model.SlotID) (model.SlotRecord, uint64) {
	v := s.records[id]
	return v.record, s.version(v.revision)
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
		record, version := s.Record(f.Slot)
		return event.SlotRead{
			Slot: f.Slot, Record: record, Version: version, Error: e, SentAt: sentAt, Restores: s.restores,
		}
	})
}

// compareAndSwap writes a record if its version has not changed.
func (s *Store) compareAndSwap(h *Host, f effect.SwapSlot) {
	sentAt := h.Now()
	operation := func() event.StoreError {
		if _, version := s.Record(f.Slot); version != f.Version {
			return event.StoreConflict
		}
		s.revision++
		s.records[f.Slot] = storedRecord{f.Record, s.revision}
		return event.StoreOK
	}
	s.call(h, operation, func(e event.StoreError) event.Body {
		return event.SlotSwapped{
			Slot: f.Slot, Record: f.Record, Version: s.version(s.revision), Error: e, SentAt: sentAt, Restores: s.restores,
		}
	})
}
