package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// claimState is the idempotency records of owned slots and the claims that
// requests of this host wait for or hold.
type claimState struct{}

// claim is what a request holds of its idempotency key.
type claim struct{}

func newClaimState() claimState { return claimState{} }

func (s *State) startClaims()                                     {}
func (s *State) onClaimsTimer(id uint64)                          {}
func (s *State) onClaim(model.HostRef, message.Claim)             {}
func (s *State) onClaimAnswer(model.HostRef, message.ClaimAnswer) {}
func (s *State) onClaimEnd(model.HostRef, message.ClaimEnd)       {}
func (s *State) onClaimEndAck(model.HostRef, message.ClaimEndAck) {}

// claimKey claims the request's idempotency key at its owner.
func (s *State) claimKey(r *request) step { return stepNext }

// retainAnswer returns the size up to which the answer is to be copied, 0 for
// idempotent routes.
func (s *State) retainAnswer(r *request) int { return 0 }

// endClaim tells the owner of the request's key, if it holds a claim, how the
// request ended. answer is nil where none is retained.
func (s *State) endClaim(r *request, answer *model.Answer) {}
