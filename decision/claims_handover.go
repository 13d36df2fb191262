package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// addClaimsToOffer adds the idempotency records of the offer's slot to it. The
// slot is frozen from then on: claims on it are answered with ClaimNotOwner.
func (s *State) addClaimsToOffer(offer *message.HandoverOffer) {
	offer.Claims = s.exportClaims(offer.Slot)
	offer.ClaimsSince = s.claims.completeSince[offer.Slot]
}

// restoreClaims adds the idempotency records of a slot that was handed over.
func (s *State) restoreClaims(offer message.HandoverOffer) {
	s.importClaims(offer.Slot, offer.Claims)
	s.claims.completeSince[offer.Slot] = offer.ClaimsSince
}

// discardSlotClaims removes the idempotency records of a slot that this host
// no longer owns.
func (s *State) discardSlotClaims(id model.SlotID) { s.dropClaims(id) }
