package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// freezeClaims adds the idempotency records of the offer's slot to it. The
// slot is frozen from now on: claims on it are answered with ClaimNotOwner.
func (s *State) freezeClaims(offer *message.HandoverOffer) {}

// restoreClaims takes the idempotency records of a slot that was handed over.
func (s *State) restoreClaims(offer message.HandoverOffer) {}

// slotClaimsLost drops the idempotency records of a slot that this host does
// not own any more.
func (s *State) slotClaimsLost(id model.SlotID) {}
