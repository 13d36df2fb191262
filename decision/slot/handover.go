package slot

import (
	"time"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// resendEvery is the time between repetitions of an offer or a commit.
	resendEvery = 200 * time.Millisecond
	// offerTimeout is how long a successor may take to acknowledge an offer
	// before the next one in rank is asked.
	offerTimeout = 1500 * time.Millisecond
	// swapTimeout is how long the store may take before the handover is
	// committed without it.
	swapTimeout = time.Second
	// commitTimeout is how long a commit is repeated. It is far below
	// intentMemory, which covers the time from offer to commit.
	commitTimeout = 5 * time.Second
	// incomingTimeout is how old an offer may be when its commit arrives: the
	// sum of the three before, rounded up.
	incomingTimeout = 10 * time.Second
	// rebalanceEvery is the least time between two handovers that improve the
	// balance.
	rebalanceEvery = 5 * time.Second
)

// Fill completes an offer with the state of a slot that is frozen from now on.
type Fill func(*message.HandoverOffer)

// handover is a slot on its way to a successor. The slot is frozen: this host
// answers for it no more, unless no successor was found before a swap.
type handover struct {
	successor model.HostRef
	tried     map[model.HostID]bool
	offer     message.HandoverOffer
	acked     bool
	began     model.Instant // of this offer
	resentAt  model.Instant
	swapAt    model.Instant // when the swap was sent first
	commit    *message.HandoverCommit
	commitAt  model.Instant
}

// incoming is an offer that this host has acknowledged.
type incoming struct {
	from    model.HostRef
	offer   message.HandoverOffer
	at      model.Instant // when it arrived
	ackedAt model.Instant // no later than the sender learned of the ack
}

// Stop makes this host hand over its slots and claim no more.
func (s *State) Stop() { s.stopping = true }

// stepHandover begins, repeats or ends the handover of a held slot.
func (s *State) stepHandover(now model.Instant, f Fleet, v *slot, fill Fill) {
	h := v.handover
	switch {
	case h == nil:
		s.offerToNext(now, f, v, fill)
	case h.commit != nil:
		s.stepCommit(now, v)
	case h.acked:
		s.stepHandoverSwap(now, v)
	case now >= h.began.Add(offerTimeout):
		s.offerToNext(now, f, v, fill)
	case now >= h.resentAt.Add(resendEvery):
		s.sendOffer(now, v)
	}
}

// offerToNext offers the slot to the next host in rank. Where there is none,
// the slot goes back into service.
func (s *State) offerToNext(now model.Instant, f Fleet, v *slot, fill Fill) {
	tried := map[model.HostID]bool{s.self.ID: true}
	if v.handover != nil {
		tried = v.handover.tried
	}
	if !s.stopping {
		v.handover = nil
		return
	}
	best, ok := s.ranking(now, f).best(v.id, func(m *Member) bool {
		return m.Heard && !tried[m.Ref.ID]
	})
	if !ok || now >= s.until(v) {
		v.handover = nil
		return
	}
	tried[best.Ref.ID] = true
	s.offer(now, v, best.Ref, tried, fill)
}

func (s *State) offer(now model.Instant, v *slot, to model.HostRef, tried map[model.HostID]bool, fill Fill) {
	record := v.lease.record
	if v.lease.pending != nil {
		record = v.lease.pending.record
	}
	record.Owner, record.Continuous = to, true
	record.Term++
	record.Renewal++
	h := &handover{successor: to, tried: tried, began: now}
	h.offer = message.HandoverOffer{
		Slot: v.id, Offer: s.nextSerial(), Record: record, Version: v.lease.version,
	}
	v.handover = h
	fill(&h.offer)
	s.sendOffer(now, v)
}

func (s *State) sendOffer(now model.Instant, v *slot) {
	v.handover.resentAt = now
	s.emit(Send{v.handover.successor.ID, v.handover.offer})
}

// onOffer keeps the offered state and acknowledges it. An offer that is older
// than the one kept from the same owner is ignored.
func (s *State) onOffer(now model.Instant, from model.HostRef, m message.HandoverOffer) {
	v, ok := s.slots[m.Slot]
	if !ok || s.stopping || v.lease != nil || m.Record.Owner != s.self || m.Record.Term <= v.term {
		return
	}
	in := v.incoming
	isSame := in != nil && in.from == from
	if isSame && m.Offer < in.offer.Offer {
		return
	}
	if !isSame || m.Offer > in.offer.Offer {
		v.incoming = &incoming{from: from, offer: m, at: now, ackedAt: now}
	}
	s.emit(Send{from.ID, message.HandoverAck{Slot: m.Slot, Offer: m.Offer}})
}

func (s *State) onHandoverAck(now model.Instant, from model.HostRef, m message.HandoverAck) {
	v, ok := s.slots[m.Slot]
	if !ok || v.handover == nil || v.lease == nil {
		return
	}
	h := v.handover
	if h.acked || h.successor != from || h.offer.Offer != m.Offer {
		return
	}
	h.acked = true
	h.swapAt = now
	s.swapForHandover(now, v)
}

func (s *State) swapForHandover(now model.Instant, v *slot) {
	v.handover.resentAt = now
	s.emit(Swap{v.id, v.lease.version, v.handover.offer.Record})
}

// stepHandoverSwap commits without the store when it does not answer.
func (s *State) stepHandoverSwap(now model.Instant, v *slot) {
	if now >= v.handover.swapAt.Add(swapTimeout) {
		s.commit(now, v, v.lease.version, false)
	}
}

// handoverSwapped takes the answer to the swap that names the successor.
func (s *State) handoverSwapped(now model.Instant, v *slot, e event.SlotSwapped) {
	h := v.handover
	if !h.acked || h.commit != nil || e.Record != h.offer.Record {
		return
	}
	switch e.Error {
	case event.StoreOK:
		s.commit(now, v, e.Version, true)
	case event.StoreConflict:
		s.emit(Read{v.id})
	}
}

// handoverRead settles a swap that met a conflict: an earlier renewal or the
// swap itself had taken effect, or another host has claimed the slot.
func (s *State) handoverRead(now model.Instant, v *slot, e event.SlotRead) {
	h := v.handover
	switch {
	case h.commit != nil || e.Version <= v.lease.version:
	case e.Record == h.offer.Record:
		s.commit(now, v, e.Version, true)
	case e.Record.Owner == s.self && e.Record.Term == v.lease.record.Term:
		v.lease.version = e.Version
		if h.acked {
			s.swapForHandover(now, v)
		}
	default:
		s.hearOwner(v, e.Record.Owner, e.Record.Term, v.heardAt)
		s.lose(v, false)
	}
}

func (s *State) commit(now model.Instant, v *slot, version uint64, stored bool) {
	h := v.handover
	h.commitAt = now
	h.commit = &message.HandoverCommit{
		Slot: v.id, Offer: h.offer.Offer, Record: h.offer.Record, Version: version, Stored: stored,
	}
	s.sendCommit(now, v)
}

// sendCommit states what is left of the lease at the time of sending: from the
// swap where the store took it, else from the last renewal.
func (s *State) sendCommit(now model.Instant, v *slot) {
	h := v.handover
	h.resentAt = now
	from := v.lease.renewedFrom
	if h.commit.Stored {
		from = h.swapAt
	}
	m := *h.commit
	m.Expires = from.Add(Lease).Sub(now)
	s.emit(Send{h.successor.ID, m})
}

func (s *State) stepCommit(now model.Instant, v *slot) {
	h := v.handover
	switch {
	case now >= h.commitAt.Add(commitTimeout):
		s.handedOver(now, v)
	case now >= h.resentAt.Add(resendEvery):
		s.sendCommit(now, v)
	}
}

func (s *State) handedOver(now model.Instant, v *slot) {
	record := v.handover.offer.Record
	s.lose(v, true)
	s.hearOwner(v, record.Owner, record.Term, now)
}

// onCommit makes this host the owner of a slot whose offer it acknowledged.
func (s *State) onCommit(now model.Instant, wall model.WallTime, from model.HostRef, m message.HandoverCommit) {
	v, ok := s.slots[m.Slot]
	if !ok {
		return
	}
	isDone := v.term >= m.Record.Term
	in := v.incoming
	isKept := in != nil && in.from == from && in.offer.Offer == m.Offer && now < in.at.Add(incomingTimeout)
	if !isDone && !isKept {
		return
	}
	s.emit(Send{from.ID, message.HandoverCommitAck{Slot: m.Slot, Offer: m.Offer}})
	if isDone {
		return
	}
	l := &lease{record: m.Record, version: m.Version, renewedFrom: in.ackedAt.Add(m.Expires - Lease)}
	if !m.Stored {
		l.pending = &renewal{record: m.Record, sentAt: now}
	}
	s.succeed(now, wall, v, l)
}

// succeed takes over a slot together with the offered state.
func (s *State) succeed(now model.Instant, wall model.WallTime, v *slot, l *lease) {
	in := v.incoming
	v.incoming = nil
	s.acquire(now, wall, v, l)
	s.emit(Acquired{
		Slot: v.id, Term: l.record.Term, Continuous: true, Offer: &in.offer, OfferedAt: in.at,
	})
}

// incomingRead notices that the store names this host as the successor though
// the commit did not arrive. The lease counts from the next renewal.
func (s *State) incomingRead(now model.Instant, wall model.WallTime, v *slot, e event.SlotRead) bool {
	if v.incoming == nil || v.lease != nil || e.Record != v.incoming.offer.Record {
		return false
	}
	s.succeed(now, wall, v, &lease{
		record: e.Record, version: e.Version, renewedFrom: now.Add(-Lease), lapsed: true,
	})
	return true
}

func (s *State) onCommitAck(now model.Instant, from model.HostRef, m message.HandoverCommitAck) {
	v, ok := s.slots[m.Slot]
	if !ok || v.handover == nil || v.handover.commit == nil {
		return
	}
	if v.handover.successor == from && v.handover.offer.Offer == m.Offer {
		s.handedOver(now, v)
	}
}

// rebalance hands over one slot that another host should rather hold. It waits
// for a quiet fleet: every slot has an owner and the store has just answered.
func (s *State) rebalance(now model.Instant, f Fleet, fill Fill) {
	if s.stopping || now < s.rebalancedAt.Add(rebalanceEvery) || !s.isSettled(now, f) {
		return
	}
	s.rebalancedAt = now
	r := s.ranking(now, f)
	self := s.selfMember(f)
	for _, id := range s.order {
		v := s.slots[id]
		if v.lease == nil || now >= v.lease.renewedFrom.Add(renewEvery+retryEvery) {
			continue
		}
		best, ok := r.best(id, func(m *Member) bool { return m.Heard })
		if ok && best.Ref != s.self && r.isBetter(id, &self, &best) {
			s.offer(now, v, best.Ref, map[model.HostID]bool{s.self.ID: true}, fill)
			return
		}
	}
}

// isSettled reports whether every slot has an owner and this host has no
// handover under way.
func (s *State) isSettled(now model.Instant, f Fleet) bool {
	for _, id := range s.order {
		v := s.slots[id]
		if _, ok := s.presentOwner(now, f, v); !ok || v.handover != nil {
			return false
		}
	}
	return true
}

func (s *State) selfMember(f Fleet) Member {
	if m, ok := f.member(s.self.ID); ok && m.Ref == s.self {
		return m
	}
	return Member{Ref: s.self}
}
