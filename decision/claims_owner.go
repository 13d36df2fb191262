package decision

import (
	"time"

	"pollensail.dev/decision/idempotency"
	"pollensail.dev/decision/model"
)

// ownerGuard is the authority that an owner must have left to answer an ask.
const ownerGuard = 500 * time.Millisecond

func (s *State) slotOwner(model.SlotID) (model.HostRef, bool) { return s.self, true }

func (s *State) ownedTerm(model.SlotID) (idempotency.Term, bool) {
	return idempotency.Term{Continuous: true}, true
}
