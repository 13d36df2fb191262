package decision

import (
	"pollensail.dev/decision/idempotency"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// sweepClaims drops the records that are too old to keep.
func (s *State) sweepClaims() {
	s.sendReplies(s.claims.records.Expire(s.now, s.wall))
	s.startClaims()
}

// applyEnd takes the end of a use of a key that this host's slot owns.
func (s *State) applyEnd(from model.HostRef, m message.ClaimEnd) {
	holder := idempotency.Holder{Host: from, Ask: m.Ask}
	s.sendReplies(s.claims.records.End(m.Slot, m.Account, m.Key, holder, m.Verdict, m.Answer))
}

// onClaim decides on the claim of another host.
func (s *State) onClaim(from model.HostRef, m message.Claim) {
	holder := idempotency.Holder{Host: from, Ask: m.Ask}
	term, ok := s.ownedTerm(m.Slot)
	if !ok {
		s.reply(holder, m.Key, idempotency.Decision{Result: message.ClaimNotOwner})
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
	s.reply(holder, m.Key, decision)
}

func (s *State) sendReplies(replies []idempotency.Reply) {
	for _, r := range replies {
		s.reply(r.Holder, r.Key, r.Decision)
	}
}

// reply passes an owner's decision to the claim's host, which may be this one.
func (s *State) reply(h idempotency.Holder, key string, d idempotency.Decision) {
	if h.Host == s.self {
		s.onDecision(h.Ask, d)
		return
	}
	s.send(h.Host.ID, message.ClaimAnswer{Ask: h.Ask, Key: key, Result: d.Result, Answer: d.Answer})
}

// onClaimEnd records the end of another host's use and acknowledges it.
func (s *State) onClaimEnd(from model.HostRef, m message.ClaimEnd) {
	if owner, ok := s.slotOwner(m.Slot); !ok || owner != s.self {
		return
	}
	s.applyEnd(from, m)
	s.send(from.ID, message.ClaimEndAck{Ask: m.Ask})
}

// exportClaims returns a slot's records for its next owner.
func (s *State) exportClaims(slot model.SlotID) []message.ClaimState {
	return s.claims.records.Export(s.now, slot)
}

// importClaims takes over the records of a slot's last owner.
func (s *State) importClaims(slot model.SlotID, states []message.ClaimState) {
	s.claims.records.Import(s.now, slot, states)
}

// dropClaims forgets the records of a slot that this host owns no longer.
func (s *State) dropClaims(slot model.SlotID) {
	s.sendReplies(s.claims.records.Drop(slot))
	delete(s.claims.since, slot)
}

// ownedTerm returns this host's term of a slot as far as idempotency records
// are concerned. It reports false unless this host may decide for the slot.
func (s *State) ownedTerm(id model.SlotID) (idempotency.Term, bool) {
	_, ok := s.slotOwned(id)
	since := s.claims.since[id]
	return idempotency.Term{Began: since, Continuous: since == 0}, ok
}

// beginClaims starts the records of a slot that was claimed, not handed over.
// All terms but the first have lost the records before them.
func (s *State) beginClaims(slot model.SlotID, term uint64) {
	s.claims.since[slot] = 0
	if term > 1 {
		s.claims.since[slot] = s.wall
	}
}
