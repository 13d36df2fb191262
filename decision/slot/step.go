package slot

import (
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Tick does what is due: renewals, claims and handovers. fill completes an
// offer when a slot is frozen.
func (s *State) Tick(now model.Instant, f Fleet, fill FillOffer) {
	for _, id := range s.order {
		v := s.slots[id]
		switch {
		case v.lease != nil && (v.handover != nil || s.stopping):
			s.stepHandover(now, f, v, fill)
			s.renewUnlessFrozen(now, f, v)
		case v.lease != nil:
			s.renew(now, f, v)
		case v.claim != nil:
			s.stepClaim(now, f, v)
		}
	}
	s.startClaims(now, f)
	s.rebalance(now, f, fill)
}

// renewUnlessFrozen renews the lease of a slot that stepHandover has left
// without a handover under way, as on a stopping host without a successor.
func (s *State) renewUnlessFrozen(now model.Instant, f Fleet, v *slot) {
	if v.lease != nil && v.handover == nil {
		s.renew(now, f, v)
	}
}

// OnRead handles the answer to a Read.
func (s *State) OnRead(now model.Instant, wall model.WallTime, f Fleet, e event.SlotRead) {
	s.observeRestores(e.Restores)
	s.relayRead(e)
	v, ok := s.slots[e.Slot]
	if !ok || e.Error != event.StoreOK {
		return
	}
	switch {
	case v.lease != nil && v.handover != nil:
		s.handoverRead(now, v, e)
	case v.lease != nil:
		s.leaseRead(now, f, v, e.Record, e.Version)
	case s.takeOverFromRecord(now, wall, v, e):
	case v.claim != nil:
		s.claimRead(now, wall, f, v, e)
	}
}

// OnSwapped handles the result of a Swap.
func (s *State) OnSwapped(now model.Instant, wall model.WallTime, e event.SlotSwapped) {
	s.observeRestores(e.Restores)
	if s.relaySwapped(e) {
		return
	}
	v, ok := s.slots[e.Slot]
	switch {
	case !ok:
	case v.lease != nil && v.handover != nil:
		s.handoverSwapped(now, v, e)
	case v.lease != nil:
		s.leaseSwapped(v, e)
	case v.claim != nil:
		s.claimSwapped(now, wall, v, e)
	}
}

// OnMessage handles a message about slots. It reports false for messages of
// other types.
func (s *State) OnMessage(now model.Instant, wall model.WallTime, f Fleet, from model.HostRef, m message.Message) bool {
	switch m := m.(type) {
	case message.ClaimIntent:
		s.onIntent(now, from, m)
	case message.ClaimIntentAck:
		s.onIntentAck(now, f, from, m)
	case message.RenewRelay:
		s.onRelay(from, m)
	case message.RenewResult:
		s.onRenewResult(now, f, m)
	case message.HandoverOffer:
		s.onOffer(now, from, m)
	case message.HandoverAck:
		s.onHandoverAck(now, from, m)
	case message.HandoverCommit:
		s.onCommit(now, wall, from, m)
	case message.HandoverCommitAck:
		s.onCommitAck(now, from, m)
	default:
		return false
	}
	return true
}
