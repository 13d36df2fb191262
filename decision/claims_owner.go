package decision

import (
	"pollensail.dev/decision/idempotency"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// sweepClaims removes expired records.
func (s *State) sweepClaims() {
	s.sendClaimReplies(s.claims.records.Expire(s.now, s.wall))
	s.startClaims()
}

// applyClaimEnd records the end of a claim on a key of a slot that this host
// owns.
func (s *State) applyClaimEnd(from model.HostRef, m message.ClaimEnd) {
	holder := idempotency.Holder{Host: from, Ask: m.Ask}
	s.sendClaimReplies(s.claims.records.End(m.Slot, m.Account, m.Key, holder, m.Verdict, m.Answer))
}

// onClaim decides on a claim of another host.
func (s *State) onClaim(from model.HostRef, m message.Claim) {
	holder := idempotency.Holder{Host: from, Ask: m.Ask}
	term, ok := s.claimTerm(m.Slot)
	if !ok {
		s.replyToClaim(holder, m.Key, idempotency.Decision{Result: message.ClaimNotOwner})
		return
	}
	decision := s.claims.records.Claim(s.now, s.wall, term, idempotency.Claim{
		Slot:        m.Slot,
		Account:     m.Account,
		Key:         m.Key,
		Fingerprint: m.Fingerprint,
		Holder:      holder,
		Timeout:     min(m.Timeout, maxTimeout),
	})
	s.replyToClaim(holder, m.Key, decision)
}

func (s *State) sendClaimReplies(replies []idempotency.Reply) {
	for _, r := range replies {
		s.replyToClaim(r.Holder, r.Key, r.Decision)
	}
}

// replyToClaim passes the owner's decision to the host that made the claim,
// which may be this one.
func (s *State) replyToClaim(h idempotency.Holder, key string, d idempotency.Decision) {
	if h.Host == s.self {
		s.onClaimDecision(h.Ask, d)
		return
	}
	s.send(h.Host.ID, message.ClaimAnswer{Ask: h.Ask, Key: key, Result: d.Result, Answer: d.Answer})
}

// onClaimEnd records the end of another host's claim and acknowledges it.
func (s *State) onClaimEnd(from model.HostRef, m message.ClaimEnd) {
	if owner, ok := s.slotOwner(m.Slot); !ok || owner != s.self {
		return
	}
	s.applyClaimEnd(from, m)
	s.send(from.ID, message.ClaimEndAck{Ask: m.Ask})
}

// exportClaims returns a slot's records for its next owner.
func (s *State) exportClaims(slot model.SlotID) []message.ClaimState {
	return s.claims.records.Export(s.now, slot)
}

// importClaims adds the records of a slot's previous owner.
func (s *State) importClaims(slot model.SlotID, states []message.ClaimState) {
	s.claims.records.Import(s.now, slot, states)
}

// dropClaims removes the records of a slot that this host no longer owns.
func (s *State) dropClaims(slot model.SlotID) {
	s.sendClaimReplies(s.claims.records.Drop(slot))
	delete(s.claims.completeSince, slot)
}

// claimTerm returns this host's term of a slot as idempotency records need it:
// since when they are complete. It reports false unless this host may decide
// for the slot.
func (s *State) claimTerm(id model.SlotID) (idempotency.Term, bool) {
	_, ok := s.ownedSlot(id)
	since := s.claims.completeSince[id]
	return idempotency.Term{Began: since, Continuous: since == 0}, ok
}

// beginClaims initializes the records of a slot that was acquired without a
// handover. In every term but the first, the records of earlier terms are
// lost.
func (s *State) beginClaims(slot model.SlotID, term uint64) {
	s.claims.completeSince[slot] = 0
	if term > 1 {
		s.claims.completeSince[slot] = s.wall
	}
}
