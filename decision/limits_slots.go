package decision

import (
	"fmt"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/slot"
)

// expireSlotAuthority marks the slot leases whose authority has run out as
// lapsed. It is called before and after each change of the evidence on which
// authority rests, so that newer evidence does not revive a lapsed lease.
func (s *State) expireSlotAuthority() {
	s.limits.slots.UpdateMajority(s.now, s.limits.members.MajorityUntil(s.now))
}

func (s *State) tickSlots() {
	s.expireSlotAuthority()
	s.limits.slots.Tick(s.now, s.slotFleet(), s.fillHandoverOffer)
	s.applySlotResults()
	s.exitIfDrained()
}

func (s *State) onSlotRead(e event.SlotRead) {
	s.recordStoreContact(e.SentAt, e.Error)
	s.expireSlotAuthority()
	s.limits.slots.OnRead(s.now, s.wall, s.slotFleet(), e)
	s.applySlotResults()
}

func (s *State) onSlotSwapped(e event.SlotSwapped) {
	s.recordStoreContact(e.SentAt, e.Error)
	s.expireSlotAuthority()
	s.limits.slots.OnSwapped(s.now, s.wall, e)
	s.applySlotResults()
}

func (s *State) onSlotMessage(from model.HostRef, m message.Message) {
	s.applyLimitsConfig()
	s.expireSlotAuthority()
	if !s.limits.slots.OnMessage(s.now, s.wall, s.slotFleet(), from, m) {
		s.emitNotice(effect.NoticeBadMessage, fmt.Sprintf("%T from %v", m, from))
		return
	}
	s.applySlotResults()
}

// applySlotResults turns the results of slot ownership into effects.
func (s *State) applySlotResults() {
	for _, result := range s.limits.slots.DrainResults() {
		switch r := result.(type) {
		case slot.Read:
			s.emit(effect.ReadSlot{Slot: r.Slot})
		case slot.ProbeHost:
			s.send(r.Host, s.fillHeartbeat(s.limits.members.Probe(s.now)))
		case slot.Swap:
			s.emit(effect.SwapSlot{Slot: r.Slot, Version: r.Version, Record: r.Record})
		case slot.Send:
			s.send(r.To, r.Message)
		case slot.Acquired:
			s.onSlotAcquired(r)
		case slot.Lost:
			s.onSlotLost(r)
		case slot.Lapsed:
			s.emitNotice(effect.NoticeSlotLapsed, slotName(r.Slot))
		case slot.Renewed:
			s.emitNotice(effect.NoticeSlotRenewed, slotName(r.Slot))
		case slot.RecordLost:
			s.emitNotice(effect.NoticeSlotRecordLost, lostRecord(r))
		}
	}
}

func (s *State) onSlotAcquired(r slot.Acquired) {
	if r.Offer != nil {
		s.limits.ownedBuckets.RestoreTerm(r.OfferedAt, r.Slot, r.Term, *r.Offer)
		s.restoreClaims(*r.Offer)
		s.restoreEjections(*r.Offer, r.Term)
	} else {
		s.limits.ownedBuckets.Begin(s.now, r.Slot, r.Term, r.Term == 1)
		s.beginClaims(r.Slot, r.Term)
		s.beginEjections(r.Slot, r.Term)
	}
	s.announceSlot(r.Slot, r.Term)
	s.emitNotice(effect.NoticeSlotAcquired, slotTerm(r.Slot, r.Term))
	s.updateReadiness()
}

func (s *State) onSlotLost(r slot.Lost) {
	s.limits.ownedBuckets.End(r.Slot)
	s.discardSlotClaims(r.Slot)
	s.endEjections(r.Slot)
	kind := effect.NoticeSlotLost
	if r.HandedOver {
		kind = effect.NoticeSlotHandedOver
	}
	s.emitNotice(kind, slotName(r.Slot))
	s.exitIfDrained()
}

func slotName(id model.SlotID) string { return fmt.Sprintf("%s/%d", id.Domain, id.Index) }

// lostRecord describes what an owner found in place of its record, and what it does.
func lostRecord(r slot.RecordLost) string {
	action := "writes it again"
	if r.GivesWay {
		action = "gives way"
	}
	return fmt.Sprintf("%s, found term %d, %s", slotTerm(r.Slot, r.Term), r.FoundTerm, action)
}

func slotTerm(id model.SlotID, term uint64) string {
	return fmt.Sprintf("%s term %d", slotName(id), term)
}

// fillHandoverOffer adds the state of a frozen slot to its handover offer.
func (s *State) fillHandoverOffer(offer *message.HandoverOffer) {
	s.limits.ownedBuckets.ExportSlot(s.now, offer.Slot, offer, s.limitAt(offer.Slot))
	s.addClaimsToOffer(offer)
	s.addEjectionsToOffer(offer)
}

// slotOwner returns the newest known owner of a slot. It reports false if none
// is known.
func (s *State) slotOwner(id model.SlotID) (model.HostRef, bool) {
	return s.limits.slots.Owner(id)
}

// ownedSlot returns this host's term of a slot. It reports false unless this
// host owns the slot now, with slot.Guard to spare.
func (s *State) ownedSlot(id model.SlotID) (slot.Owned, bool) {
	return s.limits.slots.Owns(s.now, id)
}

// handOverSlots begins the handover of slots and the return of tokens for a
// planned stop when it is first called. Each call reports whether no slot is
// left or handoverTimeout has passed.
func (s *State) handOverSlots() bool {
	l := &s.limits
	if l.handoverDeadline == 0 {
		l.handoverDeadline = s.now.Add(handoverTimeout)
		l.limiter.Flush(s.now)
		s.applyTokenResults()
		l.slots.Stop()
	}
	return len(l.slots.Held()) == 0 || s.now >= l.handoverDeadline
}
