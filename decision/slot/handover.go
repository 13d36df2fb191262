package slot

import (
	"time"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// resendInterval is the time between repetitions of an offer or a commit.
	resendInterval = 200 * time.Millisecond
	// offerTimeout is how long a successor may take to acknowledge an offer
	// before the next one in rank gets an offer.
	offerTimeout = 1500 * time.Millisecond
	// swapTimeout is how long the store may take before the handover is
	// committed without it.
	swapTimeout = time.Second
	// commitTimeout is how long a commit is repeated. It is far below
	// intentRetention, which covers the time from offer to commit.
	commitTimeout = 5 * time.Second
	// receivedOfferTimeout is how old a received offer may be when its commit
	// arrives: the sum of offerTimeout, swapTimeout and commitTimeout, rounded
	// up.
	receivedOfferTimeout = 10 * time.Second
	// rebalanceInterval is the least time between two handovers that improve
	// the balance.
	rebalanceInterval = 5 * time.Second
)

// FillOffer adds the state of a slot to an offer. The slot is frozen from then
// on.
type FillOffer func(*message.HandoverOffer)

// handover is the transfer of a slot to a successor. While it is under way the
// slot is frozen: this host does not act as its owner. The slot goes back into
// service if no successor acknowledges an offer.
type handover struct {
	successor   model.HostRef
	tried       map[model.HostID]bool // hosts that got an offer, and this host
	offer       message.HandoverOffer
	acked       bool                    // the successor has acknowledged the offer
	offeredAt   model.Instant           // when the present offer was made
	lastSentAt  model.Instant           // of the offer, the swap or the commit
	swapSentAt  model.Instant           // when the swap was first sent
	commit      *message.HandoverCommit // nil: not yet committed
	committedAt model.Instant
}

// receivedOffer is an offer that this host has acknowledged.
type receivedOffer struct {
	from       model.HostRef
	offer      message.HandoverOffer
	receivedAt model.Instant // when it first arrived
	ackedAt    model.Instant // no later than when the sender learned of the acknowledgement
}

// Stop makes this host hand over its slots and start no more claims.
func (s *State) Stop() { s.stopping = true }

// stepHandover begins, repeats or ends the handover of a slot whose lease this
// host holds.
func (s *State) stepHandover(now model.Instant, f Fleet, v *slot, fill FillOffer) {
	h := v.handover
	switch {
	case h == nil:
		s.offerToNext(now, f, v, fill)
	case h.commit != nil:
		s.stepCommit(now, v)
	case h.acked:
		s.stepHandoverSwap(now, v)
	case now >= h.offeredAt.Add(offerTimeout):
		s.offerToNext(now, f, v, fill)
	case now >= h.lastSentAt.Add(resendInterval):
		s.sendOffer(now, v)
	}
}

// offerToNext offers the slot of a stopping host to the next host in rank. Where
// there is none, or the handover was only to improve the balance, the slot goes
// back into service.
func (s *State) offerToNext(now model.Instant, f Fleet, v *slot, fill FillOffer) {
	tried := map[model.HostID]bool{s.self.ID: true}
	if v.handover != nil {
		tried = v.handover.tried
	}
	if !s.stopping {
		v.handover = nil
		return
	}
	best, ok := s.ranking(now, f).best(v.id, func(m *Member) bool {
		return m.Alive && !tried[m.Ref.ID]
	})
	if !ok || now >= s.authorityUntil(v) {
		v.handover = nil
		return
	}
	tried[best.Ref.ID] = true
	s.offer(now, v, best.Ref, tried, fill)
}

// offer freezes the slot and offers it to a host.
func (s *State) offer(now model.Instant, v *slot, to model.HostRef, tried map[model.HostID]bool, fill FillOffer) {
	record := v.lease.record
	if v.lease.pending != nil {
		record = v.lease.pending.record
	}
	record.Owner, record.Continuous = to, true
	record.Term++
	record.Renewal++
	record.Restores = s.restores
	h := &handover{successor: to, tried: tried, offeredAt: now}
	h.offer = message.HandoverOffer{
		Slot: v.id, Offer: s.nextSerial(), Record: record, Version: v.lease.version,
	}
	v.handover = h
	fill(&h.offer)
	s.sendOffer(now, v)
}

func (s *State) sendOffer(now model.Instant, v *slot) {
	v.handover.lastSentAt = now
	s.emit(Send{v.handover.successor.ID, v.handover.offer})
}

// onOffer keeps the offered state and acknowledges it. An offer that is older
// than the one kept from the same owner is ignored.
func (s *State) onOffer(now model.Instant, from model.HostRef, m message.HandoverOffer) {
	v, ok := s.slots[m.Slot]
	if !ok || s.stopping || v.lease != nil || m.Record.Owner != s.self || m.Record.Term <= v.term {
		return
	}
	in := v.received
	isSame := in != nil && in.from == from
	if isSame && m.Offer < in.offer.Offer {
		return
	}
	if !isSame || m.Offer > in.offer.Offer {
		v.received = &receivedOffer{from: from, offer: m, receivedAt: now, ackedAt: now}
	}
	s.emit(Send{from.ID, message.HandoverAck{Slot: m.Slot, Offer: m.Offer}})
}

// onHandoverAck swaps the record once the successor has the state.
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
	h.swapSentAt = now
	s.swapForHandover(now, v)
}

func (s *State) swapForHandover(now model.Instant, v *slot) {
	v.handover.lastSentAt = now
	s.emit(Swap{v.id, v.lease.version, v.handover.offer.Record})
}

// stepHandoverSwap commits without the store when that does not answer.
func (s *State) stepHandoverSwap(now model.Instant, v *slot) {
	if now >= v.handover.swapSentAt.Add(swapTimeout) {
		s.commit(now, v, v.lease.version, false)
	}
}

// handoverSwapped handles the result of the swap that names the successor.
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

// handoverRead resolves a swap that met a conflict: an earlier renewal or the
// swap itself had taken effect, or another host has claimed the slot.
func (s *State) handoverRead(now model.Instant, v *slot, e event.SlotRead) {
	h := v.handover
	switch {
	case h.commit != nil || e.Version != 0 && e.Version <= v.lease.version:
	case e.Record == h.offer.Record:
		s.commit(now, v, e.Version, true)
	case !s.isCurrent(e.Record, e.Version) && e.Record.Term <= v.lease.record.Term && !v.lease.mayBeFollowed(now):
		s.swapAgainForHandover(now, v, e.Version)
	case e.Record.Owner == s.self && e.Record.Term == v.lease.record.Term:
		s.swapAgainForHandover(now, v, e.Version)
	default:
		s.recordOwner(v, e.Record.Owner, e.Record.Term, v.ownerSeenAt)
		s.dropOwnership(v, false)
	}
}

func (s *State) swapAgainForHandover(now model.Instant, v *slot, version uint64) {
	v.lease.version = version
	if v.handover.acked {
		s.swapForHandover(now, v)
	}
}

// commit starts to send the commit. stored says whether the record that names
// the successor is in the store.
func (s *State) commit(now model.Instant, v *slot, version uint64, stored bool) {
	h := v.handover
	h.committedAt = now
	h.commit = &message.HandoverCommit{
		Slot: v.id, Offer: h.offer.Offer, Record: h.offer.Record, Version: version, Stored: stored,
	}
	s.sendCommit(now, v)
}

// sendCommit sends the commit with the time that is left of the lease. The
// lease counts from the swap where that is stored, else from the last renewal.
func (s *State) sendCommit(now model.Instant, v *slot) {
	h := v.handover
	h.lastSentAt = now
	from := v.lease.startedAt
	if h.commit.Stored {
		from = h.swapSentAt
	}
	m := *h.commit
	m.Expires = from.Add(LeaseDuration).Sub(now)
	s.emit(Send{h.successor.ID, m})
}

func (s *State) stepCommit(now model.Instant, v *slot) {
	h := v.handover
	switch {
	case now >= h.committedAt.Add(commitTimeout):
		s.completeHandover(now, v)
	case now >= h.lastSentAt.Add(resendInterval):
		s.sendCommit(now, v)
	}
}

// completeHandover ends this host's ownership after a handover.
func (s *State) completeHandover(now model.Instant, v *slot) {
	record := v.handover.offer.Record
	s.dropOwnership(v, true)
	s.recordOwner(v, record.Owner, record.Term, now)
}

// onCommit makes this host the owner of a slot whose offer it has acknowledged.
func (s *State) onCommit(now model.Instant, wall model.WallTime, from model.HostRef, m message.HandoverCommit) {
	v, ok := s.slots[m.Slot]
	if !ok {
		return
	}
	isDone := v.term >= m.Record.Term
	in := v.received
	isKept := in != nil && in.from == from && in.offer.Offer == m.Offer && now < in.receivedAt.Add(receivedOfferTimeout)
	if !isDone && !isKept {
		return
	}
	s.emit(Send{from.ID, message.HandoverCommitAck{Slot: m.Slot, Offer: m.Offer}})
	if isDone {
		return
	}
	// The commit was sent after the acknowledgement was received. Counting
	// Expires from ackedAt therefore does not prolong the lease.
	l := &lease{record: m.Record, version: m.Version, startedAt: in.ackedAt.Add(m.Expires - LeaseDuration)}
	if !m.Stored {
		l.pending = &renewal{record: m.Record, firstSentAt: now}
	}
	s.completeTakeover(now, wall, v, l)
}

// completeTakeover makes this host the owner of a slot with the offered state.
func (s *State) completeTakeover(now model.Instant, wall model.WallTime, v *slot, l *lease) {
	in := v.received
	v.received = nil
	s.acquire(now, wall, v, l)
	s.emit(Acquired{
		Slot: v.id, Term: l.record.Term, Continuous: true, Offer: &in.offer, OfferedAt: in.receivedAt,
	})
}

// takeOverFromRecord makes this host the owner if the record in the store names
// it as the successor though the commit did not arrive. When the swap was sent
// is not known here, so the lease has no authority until its next renewal.
func (s *State) takeOverFromRecord(now model.Instant, wall model.WallTime, v *slot, e event.SlotRead) bool {
	if v.received == nil || v.lease != nil || e.Record != v.received.offer.Record || !s.isCurrent(e.Record, e.Version) {
		return false
	}
	s.completeTakeover(now, wall, v, &lease{
		record: e.Record, version: e.Version, startedAt: now.Add(-LeaseDuration), lapsed: true,
	})
	return true
}

func (s *State) onCommitAck(now model.Instant, from model.HostRef, m message.HandoverCommitAck) {
	v, ok := s.slots[m.Slot]
	if !ok || v.handover == nil || v.handover.commit == nil {
		return
	}
	if v.handover.successor == from && v.handover.offer.Offer == m.Offer {
		s.completeHandover(now, v)
	}
}

// rebalance hands over one slot to a host that ranks higher for it. It does so
// only while the fleet is stable: every slot has an owner, and the store has
// confirmed the slot's lease recently.
func (s *State) rebalance(now model.Instant, f Fleet, fill FillOffer) {
	if s.stopping || now < s.rebalancedAt.Add(rebalanceInterval) || !s.isStable(now, f) {
		return
	}
	s.rebalancedAt = now
	r := s.ranking(now, f)
	self := s.selfMember(f)
	for _, id := range s.order {
		v := s.slots[id]
		if v.lease == nil || now >= v.lease.startedAt.Add(renewInterval+retryInterval) {
			continue
		}
		best, ok := r.best(id, func(m *Member) bool { return m.Alive })
		if ok && best.Ref != s.self && r.improvesBalance(id, &self, &best) {
			s.offer(now, v, best.Ref, map[model.HostID]bool{s.self.ID: true}, fill)
			return
		}
	}
}

// isStable reports whether every slot has an owner and this host has no
// handover under way.
func (s *State) isStable(now model.Instant, f Fleet) bool {
	for _, id := range s.order {
		v := s.slots[id]
		if _, ok := s.activeOwner(now, f, v); !ok || v.handover != nil {
			return false
		}
	}
	return true
}

// selfMember returns this host as a member, also where it is not listed.
func (s *State) selfMember(f Fleet) Member {
	if m, ok := f.member(s.self.ID); ok && m.Ref == s.self {
		return m
	}
	return Member{Ref: s.self}
}
