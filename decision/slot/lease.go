package slot

import (
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// lease is this host's ownership of a slot.
type lease struct {
	owned   Owned
	record  model.SlotRecord
	version uint64
	// renewedFrom is when the last successful renewal was sent.
	renewedFrom model.Instant
	// lapsed is true once the authority has run out; only a renewal resets it.
	// Evidence with a gap does not exclude that an intent was forgotten.
	lapsed  bool
	pending *renewal
}

// renewal is a record that may or may not be in the store. All its attempts
// write the same record, so that reading it back settles it.
type renewal struct {
	record   model.SlotRecord
	sentAt   model.Instant // of the first attempt
	triedAt  model.Instant // of the last attempt
	attempts int
}

// relay is a renewal that this host carries out for a peer.
type relay struct {
	from   model.HostID
	ask    uint64
	record model.SlotRecord
}

// until returns the end of the authority over a held slot.
func (s *State) until(v *slot) model.Instant {
	l := v.lease
	if l.lapsed {
		return 0
	}
	until := l.renewedFrom.Add(Lease)
	isChallenged := v.intentKnown && v.intentAt >= l.renewedFrom
	if isChallenged {
		return until
	}
	return max(until, s.majorityUntil)
}

// Latch takes new evidence. It must be called with the time of an event before
// the event changes what membership or this state know, and after: a lease
// whose authority has run out in between stays without until it is renewed.
func (s *State) Latch(now model.Instant, majorityUntil model.Instant) {
	for _, id := range s.order {
		v := s.slots[id]
		if v.lease != nil && now >= s.until(v) {
			v.lease.lapsed = true
		}
	}
	s.majorityUntil = majorityUntil
}

// renew starts a renewal or repeats one that has not been confirmed.
func (s *State) renew(now model.Instant, f Fleet, v *slot) {
	l := v.lease
	if l.pending == nil {
		if now < l.renewedFrom.Add(renewEvery) {
			return
		}
		next := l.record
		next.Renewal++
		l.pending = &renewal{record: next, sentAt: now}
	} else if now < l.pending.triedAt.Add(retryEvery) {
		return
	}
	s.attempt(now, f, v)
}

// attempt sends the pending renewal to the store, and every second time
// through a peer, because this host may be cut off from the store.
func (s *State) attempt(now model.Instant, f Fleet, v *slot) {
	p := v.lease.pending
	p.triedAt = now
	p.attempts++
	peers := s.members(f, func(m Member) bool { return m.Heard })
	if p.attempts%2 == 1 || len(peers) == 0 {
		s.emit(Swap{v.id, v.lease.version, p.record})
		return
	}
	peer := peers[(p.attempts/2+int(p.record.Renewal))%len(peers)]
	s.emit(Send{peer.Ref.ID, message.RenewRelay{
		Ask: s.nextSerial(), Slot: v.id, Version: v.lease.version, Record: p.record,
	}})
}

// confirm says that the pending renewal is in the store.
func (l *lease) confirm(version uint64) {
	l.record, l.version = l.pending.record, version
	l.renewedFrom = max(l.renewedFrom, l.pending.sentAt)
	l.pending = nil
	l.lapsed = false
}

// leaseSwapped takes the answer to a swap of a held slot.
func (s *State) leaseSwapped(v *slot, e event.SlotSwapped) {
	p := v.lease.pending
	if p == nil || p.record != e.Record {
		return
	}
	switch e.Error {
	case event.StoreOK:
		v.lease.confirm(e.Version)
	case event.StoreConflict:
		s.emit(Read{v.id})
	}
}

// leaseRead compares a held slot with its record in the store.
func (s *State) leaseRead(v *slot, record model.SlotRecord, version uint64) {
	l := v.lease
	if record.Term > l.record.Term || (record.Term == l.record.Term && record.Owner != s.self) {
		s.hearOwner(v, record.Owner, record.Term, v.heardAt)
		s.lose(v, false)
		return
	}
	if version <= l.version {
		return
	}
	if l.pending != nil && l.pending.record == record {
		l.confirm(version)
		return
	}
	// A handover in a store outage: the record is still that of the owner
	// before, possibly renewed after the offer was made.
	l.version = version
}

func (s *State) onRelay(from model.HostRef, m message.RenewRelay) {
	if m.Record.Owner != from {
		return
	}
	s.relays[m.Slot] = relay{from.ID, m.Ask, m.Record}
	s.emit(Swap{m.Slot, m.Version, m.Record})
}

// relaySwapped answers the peer that asked for a swap. It reports false where
// the swap was not for a peer.
func (s *State) relaySwapped(e event.SlotSwapped) bool {
	r, ok := s.relays[e.Slot]
	if !ok || r.record != e.Record {
		return false
	}
	switch e.Error {
	case event.StoreOK:
		delete(s.relays, e.Slot)
		s.emit(Send{r.from, message.RenewResult{
			Ask: r.ask, Slot: e.Slot, Record: e.Record, Version: e.Version, OK: true,
		}})
	case event.StoreConflict:
		s.emit(Read{e.Slot})
	default:
		delete(s.relays, e.Slot)
	}
	return true
}

// relayRead tells the peer whose swap met a conflict what the record is.
func (s *State) relayRead(e event.SlotRead) {
	r, ok := s.relays[e.Slot]
	if !ok || e.Error != event.StoreOK {
		return
	}
	delete(s.relays, e.Slot)
	s.emit(Send{r.from, message.RenewResult{
		Ask: r.ask, Slot: e.Slot, Record: e.Record, Version: e.Version, Conflict: true,
	}})
}

func (s *State) onRenewResult(m message.RenewResult) {
	v, ok := s.slots[m.Slot]
	if !ok || v.lease == nil {
		return
	}
	if m.Conflict {
		s.leaseRead(v, m.Record, m.Version)
		return
	}
	if p := v.lease.pending; m.OK && p != nil && p.record == m.Record {
		v.lease.confirm(m.Version)
	}
}
