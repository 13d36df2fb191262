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
	// startedAt is when the last successful renewal was sent; the lease lasts
	// for LeaseDuration from then.
	startedAt model.Instant
	// lapsed is true once the authority has run out; only a renewal resets it.
	// Later evidence of a majority does not: in the gap a host may have
	// forgotten an intent.
	lapsed bool
	// lapsedAt is no later than the end of the authority, if lapsed.
	lapsedAt model.Instant
	pending  *renewal
}

// renewal is a record that may or may not be in the store. All its attempts
// write the same record, so that reading it back shows whether one took effect.
type renewal struct {
	record      model.SlotRecord
	firstSentAt model.Instant // of the first attempt
	lastSentAt  model.Instant // of the last attempt
	attempts    int
}

// relay is a renewal that this host sends to the store for a peer.
type relay struct {
	from   model.HostID
	ask    uint64 // number given by the peer
	record model.SlotRecord
}

// authorityUntil returns the end of this host's authority over a slot whose
// lease it holds. The evidence of a majority extends it unless an intent is
// known that is no older than the lease.
func (s *State) authorityUntil(v *slot) model.Instant {
	l := v.lease
	if l.lapsed {
		return 0
	}
	until := l.startedAt.Add(LeaseDuration)
	isChallenged := v.intentKnown && v.intentAt >= l.startedAt
	if isChallenged {
		return until
	}
	return max(until, s.majorityUntil)
}

// UpdateMajority sets the instant until which there is evidence of a majority.
// The caller calls it before and after each change of what membership or this
// state knows, with the time of the event that causes the change. A lease whose
// authority has run out by then is marked as lapsed and stays without authority
// until it is renewed.
func (s *State) UpdateMajority(now model.Instant, majorityUntil model.Instant) {
	for _, id := range s.order {
		v := s.slots[id]
		if v.lease != nil && !v.lease.lapsed && now >= s.authorityUntil(v) {
			v.lease.lapse(now, s.majorityUntil)
			s.emit(Lapsed{v.id})
		}
	}
	s.majorityUntil = majorityUntil
}

// lapse ends the authority. It lasted until now at most, and no longer than the lease and
// the evidence of a majority.
func (l *lease) lapse(now, majorityUntil model.Instant) {
	l.lapsed = true
	l.lapsedAt = min(now, max(l.startedAt.Add(LeaseDuration), majorityUntil))
}

// mayBeFollowed reports whether another host may have become the owner since the authority
// ended. Its claim began after the last renewal or, with evidence of a majority, after the
// oldest of that evidence, so it ends at least ClaimGrace after the authority.
func (l *lease) mayBeFollowed(now model.Instant) bool {
	return l.lapsed && now >= l.lapsedAt.Add(ClaimGrace-Guard)
}

// renew starts a renewal when it is due, or repeats one that is not confirmed.
func (s *State) renew(now model.Instant, f Fleet, v *slot) {
	l := v.lease
	if l.pending == nil {
		if now < l.startedAt.Add(renewInterval) {
			return
		}
		l.pending = s.newRenewal(now, l)
	} else if now < l.pending.lastSentAt.Add(retryInterval) {
		return
	}
	s.sendRenewal(now, f, v)
}

// newRenewal returns a renewal that follows the last one, whether or not that took effect.
func (s *State) newRenewal(now model.Instant, l *lease) *renewal {
	next := l.record
	if l.pending != nil {
		next = l.pending.record
	}
	next.Renewal++
	next.Restores = s.restores
	return &renewal{record: next, firstSentAt: now}
}

// relayPeers is how many peers each attempt through peers goes to. Several,
// because a part of them may be cut off from the store like this host.
const relayPeers = 3

// sendRenewal sends the pending renewal. Odd attempts go to the store directly,
// even ones through peers, because this host may be cut off from the store. All
// write the same record, so it does no harm if several arrive.
func (s *State) sendRenewal(now model.Instant, f Fleet, v *slot) {
	p := v.lease.pending
	p.lastSentAt = now
	p.attempts++
	peers := s.members(f, func(m Member) bool { return m.Alive })
	if p.attempts%2 == 1 || len(peers) == 0 {
		s.emit(Swap{v.id, v.lease.version, p.record})
		return
	}
	count := min(relayPeers, len(peers))
	first := p.attempts/2 + int(p.record.Renewal)
	for i := range count {
		peer := peers[(first+i*len(peers)/count)%len(peers)]
		s.emit(Send{peer.Ref.ID, message.RenewRelay{
			Ask: s.nextSerial(), Slot: v.id, Version: v.lease.version, Record: p.record,
		}})
	}
}

// confirmRenewal records that the pending renewal of a slot's lease is in the
// store.
func (s *State) confirmRenewal(v *slot, version uint64) {
	l := v.lease
	l.record, l.version = l.pending.record, version
	l.startedAt = max(l.startedAt, l.pending.firstSentAt)
	l.pending = nil
	if l.lapsed {
		l.lapsed = false
		s.emit(Renewed{v.id})
	}
}

// leaseSwapped handles the result of a renewal's swap.
func (s *State) leaseSwapped(v *slot, e event.SlotSwapped) {
	p := v.lease.pending
	if p == nil || p.record != e.Record {
		return
	}
	switch {
	case e.Error == event.StoreConflict, e.Error == event.StoreOK && !s.isCurrent(e.Record, e.Version):
		s.emit(Read{v.id})
	case e.Error == event.StoreOK:
		s.confirmRenewal(v, e.Version)
	}
}

// leaseRead compares a lease with the slot's record in the store. The owner gives way to
// another one in the record, and writes a record again that the store has lost.
func (s *State) leaseRead(now model.Instant, f Fleet, v *slot, record model.SlotRecord, version uint64) {
	l := v.lease
	isLate := version != 0 && version <= l.version
	switch {
	case record.Term > l.record.Term || (record.Term == l.record.Term && record.Owner != s.self):
		s.recordOwner(v, record.Owner, record.Term, v.ownerSeenAt)
		s.dropOwnership(v, false)
	case isLate:
	case !s.isCurrent(record, version):
		s.rewriteRecord(now, f, v, record, version)
	case l.pending != nil && l.pending.record == record:
		s.confirmRenewal(v, version)
	default:
		// After a handover in a store outage the record is still that of the
		// previous owner, who may have renewed it after making the offer.
		l.version = version
	}
}

// rewriteRecord renews a lease whose record is missing, or older than the last restore of
// the store. The owner gives way if another one may have followed whose record is lost too.
func (s *State) rewriteRecord(now model.Instant, f Fleet, v *slot, found model.SlotRecord, version uint64) {
	l := v.lease
	givesWay := l.mayBeFollowed(now)
	s.emit(RecordLost{Slot: v.id, Term: l.record.Term, FoundTerm: found.Term, GivesWay: givesWay})
	if givesWay {
		s.dropOwnership(v, false)
		return
	}
	l.version = version
	l.pending = s.newRenewal(now, l)
	s.sendRenewal(now, f, v)
}

// onRelay carries out the swap of a peer's renewal.
func (s *State) onRelay(from model.HostRef, m message.RenewRelay) {
	if m.Record.Owner != from {
		return
	}
	s.relays[m.Slot] = relay{from.ID, m.Ask, m.Record}
	s.emit(Swap{m.Slot, m.Version, m.Record})
}

// relaySwapped handles the result of a swap for a peer. It reports false where
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
			Ask: r.ask, Slot: e.Slot, Record: e.Record, Version: e.Version, OK: true, Restores: s.restores,
		}})
	case event.StoreConflict:
		s.emit(Read{e.Slot})
	default:
		delete(s.relays, e.Slot)
	}
	return true
}

// relayRead sends the record to the peer whose swap met a conflict.
func (s *State) relayRead(e event.SlotRead) {
	r, ok := s.relays[e.Slot]
	if !ok || e.Error != event.StoreOK {
		return
	}
	delete(s.relays, e.Slot)
	s.emit(Send{r.from, message.RenewResult{
		Ask: r.ask, Slot: e.Slot, Record: e.Record, Version: e.Version, Conflict: true, Restores: s.restores,
	}})
}

func (s *State) onRenewResult(now model.Instant, f Fleet, m message.RenewResult) {
	s.observeRestores(m.Restores)
	v, ok := s.slots[m.Slot]
	if !ok || v.lease == nil {
		return
	}
	p := v.lease.pending
	isConfirmed := m.OK && p != nil && p.record == m.Record && s.isCurrent(m.Record, m.Version)
	switch {
	case m.Conflict && v.handover != nil:
		s.handoverRead(now, v, event.SlotRead{Slot: m.Slot, Record: m.Record, Version: m.Version})
	case m.Conflict:
		s.leaseRead(now, f, v, m.Record, m.Version)
	case isConfirmed:
		s.confirmRenewal(v, m.Version)
	}
}
