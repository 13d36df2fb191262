package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// freezeClaims adds the idempotency records of the offer's slot to it. The
// slot is frozen from now on: claims on it are answered with ClaimNotOwner.
func (s *State) freezeClaims(offer *message.HandoverOffer) {
	offer.Claims = s.exportClaims(offer.Slot)
	offer.ClaimsSince = s.claims.since[offer.Slot]
}

// restoreClaims takes the idempotency records of a slot that was handed over.
func (s *State) restoreClaims(offer message.HandoverOffer) {
	s.importClaims(offer.Slot, offer.Claims)
	s.claims.since[offer.Slot] = offer.ClaimsSince
}

// slotClaimsLost drops the idempotency records of a slot that this host does
// not own any more.
func (s *State) slotClaimsLost(id model.SlotID) { s.dropClaims(id) }
