package decision

import (
	"fmt"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/slot"
)

// latchSlots ends the authority over slots that has run out. It is called
// before and after each change of the evidence.
func (s *State) latchSlots() {
	s.limits.slots.Latch(s.now, s.limits.members.MajorityUntil(s.now))
}

func (s *State) tickSlots() {
	s.latchSlots()
	s.limits.slots.Tick(s.now, s.fleet(), s.fillOffer)
	s.runSlots()
	s.checkStopped()
}

func (s *State) onSlotRead(e event.SlotRead) {
	s.storeAnswered(e.SentAt, e.Error)
	s.latchSlots()
	s.limits.slots.OnRead(s.now, s.wall, s.fleet(), e)
	s.runSlots()
}

func (s *State) onSlotSwapped(e event.SlotSwapped) {
	s.storeAnswered(e.SentAt, e.Error)
	s.latchSlots()
	s.limits.slots.OnSwapped(s.now, s.wall, e)
	s.runSlots()
}

func (s *State) onSlotMessage(from model.HostRef, m message.Message) {
	s.latchSlots()
	if !s.limits.slots.OnMessage(s.now, s.wall, s.fleet(), from, m) {
		s.notice(effect.NoticeBadMessage, fmt.Sprintf("%T from %v", m, from))
		return
	}
	s.runSlots()
}

// runSlots turns the results of slot ownership into effects.
func (s *State) runSlots() {
	for _, result := range s.limits.slots.Take() {
		switch r := result.(type) {
		case slot.Read:
			s.emit(effect.ReadSlot{Slot: r.Slot})
		case slot.AskHost:
			s.send(r.Host, s.fillHeartbeat(s.limits.members.AskOne(s.now)))
		case slot.Swap:
			s.emit(effect.SwapSlot{Slot: r.Slot, Version: r.Version, Record: r.Record})
		case slot.Send:
			s.send(r.To, r.Message)
		case slot.Acquired:
			s.slotAcquired(r)
		case slot.Lost:
			s.slotLost(r)
		}
	}
}

func (s *State) slotAcquired(r slot.Acquired) {
	if r.Offer != nil {
		s.limits.owner.Restore(r.OfferedAt, r.Slot, r.Term, *r.Offer)
		s.restoreClaims(*r.Offer)
		s.restoreEjections(*r.Offer, r.Term)
	} else {
		s.limits.owner.Begin(s.now, r.Slot, r.Term, r.Term == 1)
		s.beginClaims(r.Slot, r.Term)
		s.beginEjections(r.Slot, r.Term)
	}
	s.announce(r.Slot, r.Term)
	s.notice(effect.NoticeSlotAcquired, slotTerm(r.Slot, r.Term))
	s.updateReady()
}

func (s *State) slotLost(r slot.Lost) {
	s.limits.owner.End(r.Slot)
	s.slotClaimsLost(r.Slot)
	s.endEjections(r.Slot)
	kind := effect.NoticeSlotLost
	if r.HandedOver {
		kind = effect.NoticeSlotHandedOver
	}
	s.notice(kind, slotName(r.Slot))
	s.checkStopped()
}

func slotName(id model.SlotID) string { return fmt.Sprintf("%s/%d", id.Domain, id.Index) }

func slotTerm(id model.SlotID, term uint64) string {
	return fmt.Sprintf("%s term %d", slotName(id), term)
}

// fillOffer completes the offer of a frozen slot.
func (s *State) fillOffer(offer *message.HandoverOffer) {
	s.limits.owner.Freeze(s.now, offer.Slot, offer, s.shareOf(offer.Slot))
	s.freezeClaims(offer)
	s.freezeEjections(offer)
}

// slotOwner returns the newest known owner of a slot. It reports false when
// none is known.
func (s *State) slotOwner(id model.SlotID) (model.HostRef, bool) {
	return s.limits.slots.Owner(id)
}

// slotOwned returns this host's term of a slot. It reports false unless this
// host owns the slot now, with slot.Guard to spare.
func (s *State) slotOwned(id model.SlotID) (slot.Owned, bool) {
	return s.limits.slots.Owns(s.now, id)
}

// stopLimits begins to hand over slots and to return tokens. It reports
// whether that is done.
func (s *State) stopLimits() bool {
	l := &s.limits
	if l.stopBy == 0 {
		l.stopBy = s.now.Add(stopTimeout)
		l.holder.Flush(s.now)
		s.runTokens()
		l.slots.Stop()
	}
	return len(l.slots.Held()) == 0 || s.now >= l.stopBy
}
