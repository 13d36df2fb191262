package decision

import (
	"time"

	"pollensail.dev/decision/idempotency"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/slot"
)

const (
	// maxClaimAge is the maximum age of a claim when its grant arrives. An owner
	// answers only while more than this is left of its authority, so a grant that
	// arrives in time was given by the rightful owner.
	maxClaimAge = slot.Guard
	// claimResendInterval is the wait before an unanswered claim is sent again.
	claimResendInterval = 150 * time.Millisecond
	// ownerSearchTimeout is how long a host looks for an owner that answers.
	ownerSearchTimeout = time.Second
	// claimPollInterval is how often a claim that waits for an earlier use of its
	// key is repeated, in case the owner's second answer was lost.
	claimPollInterval = 2 * time.Second
	// claimEndResendInterval and maxClaimEndSends bound the attempts to report
	// the end of a claim to its owner.
	claimEndResendInterval = 500 * time.Millisecond
	maxClaimEndSends       = 60
	// claimSweepInterval is how often expired records are removed.
	claimSweepInterval = time.Second
)

// claimState holds the idempotency records of the slots that this host owns,
// and the claims of this host's requests.
type claimState struct {
	records     *idempotency.Records
	lastClaimID uint64
	openClaims  map[uint64]model.RequestID  // by claim ID; claims without a final answer
	unackedEnds map[uint64]*unackedClaimEnd // by claim ID
	// completeSince is, for each owned slot, the start of the term since which
	// its records are complete; 0 if none was ever lost. It is part of a
	// handover, because the next owner lacks the same records.
	completeSince map[model.SlotID]model.WallTime
}

// unackedClaimEnd is a ClaimEnd that the owner has not acknowledged.
type unackedClaimEnd struct {
	message message.ClaimEnd
	sends   int
}

// requestClaim is a request's claim on its idempotency key.
type requestClaim struct {
	claimID          uint64          // of the current claim; 0: none
	claimAccount     model.AccountID // that the claim is for; the request's key may move to another
	claimedAt        model.Instant
	searchDeadline   model.Instant // end of the search for an owner that answers
	keySlot          model.SlotID
	holdsClaim       bool
	awaitsEarlierUse bool // the key is in use by an earlier request
}

func newClaimState() claimState {
	return claimState{
		records:       idempotency.NewRecords(),
		openClaims:    make(map[uint64]model.RequestID),
		unackedEnds:   make(map[uint64]*unackedClaimEnd),
		completeSince: make(map[model.SlotID]model.WallTime),
	}
}

// IDs of timerClaims: 0 is the sweep, 2*claimID a claim that waits for an
// answer, 2*claimID+1 a claim end that waits for its acknowledgement.

func claimRetryTimer(claimID uint64) timerKey { return timerKey{timerClaims, claimID * 2} }
func claimEndTimer(claimID uint64) timerKey   { return timerKey{timerClaims, claimID*2 + 1} }

// startClaims sets the timer of the next sweep.
func (s *State) startClaims() {
	s.timers.Set(timerKey{kind: timerClaims}, s.now.Add(claimSweepInterval))
}

func (s *State) onClaimsTimer(id uint64) {
	switch {
	case id == 0:
		s.sweepClaims()
	case id%2 == 0:
		s.onClaimRetryTimer(id / 2)
	default:
		s.sendClaimEnd(id / 2)
	}
}

// claimIdempotencyKey claims the request's idempotency key at the owner of its
// slot. Routes that are idempotent by themselves need no claim.
func (s *State) claimIdempotencyKey(r *request) step {
	hasNoKey := r.IdempotencyKey == "" && !r.route.NeedsIdempotencyKey
	if r.route.Idempotent || r.holdsClaim || hasNoKey {
		return stepNext
	}
	r.IdempotencyKey = idempotency.Canonical(r.IdempotencyKey)
	if _, err := idempotency.KeyTime(r.IdempotencyKey); err != nil {
		s.refuse(r, model.ReasonIdempotencyInvalid, 0)
		return stepDone
	}
	r.searchDeadline = s.now.Add(ownerSearchTimeout)
	return s.startClaim(r)
}

// startClaim sends a new claim to the current owner of the request's key. The
// previous claim, if any, is abandoned.
func (s *State) startClaim(r *request) step {
	s.abandonClaim(r)
	r.claimAccount = r.account
	slot, ok := idempotency.SlotOf(r.claimAccount, r.IdempotencyKey, s.snapshot.Slots())
	if !ok {
		s.refuse(r, model.ReasonIdempotencyOwner, 0)
		return stepDone
	}
	s.claims.lastClaimID++
	r.keySlot = slot
	r.claimID = s.claims.lastClaimID
	r.claimedAt = s.now
	r.awaitsEarlierUse = false
	s.claims.openClaims[r.claimID] = r.Request
	s.timers.Set(claimRetryTimer(r.claimID), s.now.Add(claimResendInterval))
	return s.sendClaim(r)
}

func (s *State) sendClaim(r *request) step {
	if term, ok := s.claimTerm(r.keySlot); ok {
		decision := s.claims.records.Claim(s.now, s.wall, term, s.newClaim(r))
		return s.applyClaimDecision(r, decision)
	}
	owner, ok := s.slotOwner(r.keySlot)
	if !ok || owner == s.self {
		return stepWait
	}
	s.send(owner.ID, message.Claim{
		Ask:         r.claimID,
		Slot:        r.keySlot,
		Account:     r.claimAccount,
		Key:         r.IdempotencyKey,
		Fingerprint: r.Fingerprint,
		Timeout:     r.deadline.Sub(s.now),
	})
	return stepWait
}

func (s *State) newClaim(r *request) idempotency.Claim {
	return idempotency.Claim{
		Slot:        r.keySlot,
		Account:     r.claimAccount,
		Key:         r.IdempotencyKey,
		Fingerprint: r.Fingerprint,
		Holder:      idempotency.Holder{Host: s.self, Ask: r.claimID},
		Timeout:     r.deadline.Sub(s.now),
	}
}

// applyClaimDecision applies the owner's decision to the request that made the
// claim.
func (s *State) applyClaimDecision(r *request, d idempotency.Decision) step {
	switch d.Result {
	case message.ClaimGranted:
		return s.onClaimGranted(r)
	case message.ClaimInProgress:
		return s.waitForEarlierUse(r)
	case message.ClaimReleased:
		s.closeClaim(r)
		r.verdict = model.NotRun
		r.searchDeadline = s.now.Add(ownerSearchTimeout)
		return s.startClaim(r)
	case message.ClaimNotOwner:
		return stepWait // the retry timer sends it again
	}
	s.closeClaim(r)
	if d.Result == message.ClaimDone && d.Answer != nil {
		s.replay(r, *d.Answer)
		return stepDone
	}
	reason, verdict := claimRefusal(d.Result)
	r.verdict = verdict
	s.refuse(r, reason, 0)
	return stepDone
}

func claimRefusal(result message.ClaimResult) (model.Reason, model.Verdict) {
	switch result {
	case message.ClaimMismatch:
		return model.ReasonIdempotencyMismatch, model.NotRun
	case message.ClaimFromFuture:
		return model.ReasonIdempotencyInvalid, model.NotRun
	case message.ClaimDropped, message.ClaimDone:
		return model.ReasonAnswerNotRetained, model.Ran
	default:
		return model.ReasonIdempotencyUnknown, model.MayHaveRun
	}
}

func (s *State) onClaimGranted(r *request) step {
	isInTime := s.now.Sub(r.claimedAt) <= maxClaimAge
	if !isInTime {
		s.refuse(r, model.ReasonIdempotencyOwner, 0)
		return stepDone
	}
	s.closeClaim(r)
	r.holdsClaim = true
	r.verdict = model.NotRun
	return stepNext
}

// waitForEarlierUse keeps the request waiting until an earlier use of its key
// has ended. Until the result is known, the verdict is that it may have run.
func (s *State) waitForEarlierUse(r *request) step {
	r.awaitsEarlierUse = true
	r.verdict = model.MayHaveRun
	s.timers.Set(claimRetryTimer(r.claimID), s.now.Add(claimPollInterval))
	return stepWait
}

// onClaimRetryTimer resends a claim, or gives up. It replaces the claim by a
// new one where the key is in use by an earlier request, or where the claim is
// too old for its grant to be accepted.
func (s *State) onClaimRetryTimer(claimID uint64) {
	r, ok := s.requests[s.claims.openClaims[claimID]]
	if !ok || r.claimID != claimID {
		return
	}
	isStale := s.now.Sub(r.claimedAt) >= maxClaimAge
	switch {
	case r.awaitsEarlierUse:
		r.searchDeadline = s.now.Add(ownerSearchTimeout)
		s.advanceAfter(r, s.startClaim(r))
	case s.now >= r.searchDeadline:
		s.refuse(r, model.ReasonIdempotencyOwner, ownerSearchTimeout)
	case isStale:
		s.advanceAfter(r, s.startClaim(r))
	default:
		s.timers.Set(claimRetryTimer(claimID), s.now.Add(claimResendInterval))
		s.advanceAfter(r, s.sendClaim(r))
	}
}

// advanceAfter advances a request whose waiting stage ended with the given
// result.
func (s *State) advanceAfter(r *request, result step) {
	if result != stepNext {
		return
	}
	r.stage++
	s.advance(r)
}

// abandonClaim ends a claim without a final answer. A grant may be on its way,
// so the owner is told that nothing ran under it.
func (s *State) abandonClaim(r *request) {
	if r.claimID == 0 || r.holdsClaim {
		return
	}
	if _, open := s.claims.openClaims[r.claimID]; !open {
		return
	}
	s.closeClaim(r)
	if !r.awaitsEarlierUse {
		s.reportClaimEnd(r, model.NotRun, nil)
	}
}

// closeClaim ends the wait for an answer to the current claim.
func (s *State) closeClaim(r *request) {
	delete(s.claims.openClaims, r.claimID)
	s.timers.Cancel(claimRetryTimer(r.claimID))
}

// retainedAnswerLimit returns how many bytes of the answer to copy for replay,
// 0 for requests without a claim.
func (s *State) retainedAnswerLimit(r *request) int {
	if !r.holdsClaim {
		return 0
	}
	return idempotency.MaxAnswerBytes
}

// endClaim tells the owner of the request's key, if the request holds a claim,
// how it ended. answer is nil where none is retained.
func (s *State) endClaim(r *request, answer *model.Response) {
	if !r.holdsClaim {
		s.abandonClaim(r)
		return
	}
	r.holdsClaim = false
	s.reportClaimEnd(r, r.verdict, answer)
}

func (s *State) reportClaimEnd(r *request, verdict model.Verdict, answer *model.Response) {
	s.claims.unackedEnds[r.claimID] = &unackedClaimEnd{message: message.ClaimEnd{
		Ask:     r.claimID,
		Slot:    r.keySlot,
		Account: r.claimAccount,
		Key:     r.IdempotencyKey,
		Verdict: verdict,
		Answer:  answer,
	}}
	s.sendClaimEnd(r.claimID)
}

// sendClaimEnd reports the end of a claim to the slot's current owner. It is
// repeated until the owner acknowledges it, at most maxClaimEndSends times.
func (s *State) sendClaimEnd(claimID uint64) {
	end, ok := s.claims.unackedEnds[claimID]
	if !ok {
		return
	}
	if end.sends == maxClaimEndSends {
		delete(s.claims.unackedEnds, claimID)
		s.exitIfDrained()
		return
	}
	end.sends++
	owner, isKnown := s.slotOwner(end.message.Slot)
	if isKnown && owner == s.self {
		delete(s.claims.unackedEnds, claimID)
		s.applyClaimEnd(s.self, end.message)
		return
	}
	if isKnown {
		s.send(owner.ID, end.message)
	}
	s.timers.Set(claimEndTimer(claimID), s.now.Add(claimEndResendInterval))
}

func (s *State) onClaimAnswer(_ model.HostRef, m message.ClaimAnswer) {
	s.onClaimDecision(m.Ask, idempotency.Decision{Result: m.Result, Answer: m.Answer})
}

func (s *State) onClaimDecision(claimID uint64, d idempotency.Decision) {
	r, ok := s.requests[s.claims.openClaims[claimID]]
	if !ok || r.claimID != claimID || r.stage != stageClaim {
		return
	}
	s.advanceAfter(r, s.applyClaimDecision(r, d))
}

func (s *State) onClaimEndAck(_ model.HostRef, m message.ClaimEndAck) {
	delete(s.claims.unackedEnds, m.Ask)
	s.timers.Cancel(claimEndTimer(m.Ask))
	s.exitIfDrained()
}
