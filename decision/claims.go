package decision

import (
	"time"

	"pollensail.dev/decision/idempotency"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/slot"
)

const (
	// claimGuard is how old an ask may be when its grant arrives. An owner
	// answers only while it has more authority than that left, so a grant
	// that arrives in time was given by the rightful owner.
	claimGuard = slot.Guard
	// claimResend is the wait before an unanswered claim is sent again.
	claimResend = 150 * time.Millisecond
	// claimSearch is how long a host looks for an owner that answers.
	claimSearch = time.Second
	// claimPoll is how often a claim that waits for an earlier use asks again,
	// in case the owner's second answer was lost.
	claimPoll = 2 * time.Second
	// endResend and maxEndSends bound the reports of a use's end.
	endResend   = 500 * time.Millisecond
	maxEndSends = 60
	// claimSweep is how often old records are removed.
	claimSweep = time.Second
)

// claimState is the idempotency records of owned slots and the claims that
// requests of this host wait for or hold.
type claimState struct {
	records *idempotency.Records
	lastAsk uint64
	asks    map[uint64]model.RequestID // claims without a final answer
	ends    map[uint64]*pendingEnd     // by ask
	// since is, for each owned slot, the start of the term from which on the
	// records are complete; 0 when nothing was ever lost. It outlives a
	// handover: the next owner misses the same records.
	since map[model.SlotID]model.WallTime
}

// pendingEnd is a ClaimEnd that the owner has not acknowledged.
type pendingEnd struct {
	message message.ClaimEnd
	sends   int
}

// claim is what a request holds of its idempotency key.
type claim struct {
	ask        uint64 // the current ask; 0: none
	askedAt    model.Instant
	searchEnds model.Instant
	slot       model.SlotID
	isHeld     bool
	isWaiting  bool // for the end of an earlier use
}

func newClaimState() claimState {
	return claimState{
		records: idempotency.NewRecords(),
		asks:    make(map[uint64]model.RequestID),
		ends:    make(map[uint64]*pendingEnd),
		since:   make(map[model.SlotID]model.WallTime),
	}
}

// Deadlines of timerClaims: id 0 is the sweep; ask*2 a claim that waits for an
// answer; ask*2+1 an end that waits for its acknowledgement.

func askTimer(ask uint64) timerKey { return timerKey{timerClaims, ask * 2} }
func endTimer(ask uint64) timerKey { return timerKey{timerClaims, ask*2 + 1} }

func (s *State) startClaims() {
	s.timers.Set(timerKey{kind: timerClaims}, s.now.Add(claimSweep))
}

func (s *State) onClaimsTimer(id uint64) {
	switch {
	case id == 0:
		s.sweepClaims()
	case id%2 == 0:
		s.onAskTimer(id / 2)
	default:
		s.sendEnd(id / 2)
	}
}

// claimKey claims the request's idempotency key at its owner.
func (s *State) claimKey(r *request) step {
	hasNoKey := r.IdempotencyKey == "" && !r.route.NeedsIdempotencyKey
	if r.route.Idempotent || r.isHeld || hasNoKey {
		return stepNext
	}
	r.IdempotencyKey = idempotency.Canonical(r.IdempotencyKey)
	if _, err := idempotency.KeyTime(r.IdempotencyKey); err != nil {
		s.refuse(r, model.ReasonIdempotencyInvalid, 0)
		return stepDone
	}
	r.searchEnds = s.now.Add(claimSearch)
	return s.ask(r)
}

// ask sends a new claim to the present owner of the request's key.
func (s *State) ask(r *request) step {
	s.dropAsk(r)
	slot, ok := idempotency.SlotOf(r.account, r.IdempotencyKey, s.snapshot.Slots())
	if !ok {
		s.refuse(r, model.ReasonIdempotencyOwner, 0)
		return stepDone
	}
	s.claims.lastAsk++
	r.slot = slot
	r.ask = s.claims.lastAsk
	r.askedAt = s.now
	r.isWaiting = false
	s.claims.asks[r.ask] = r.Request
	s.timers.Set(askTimer(r.ask), s.now.Add(claimResend))
	return s.sendClaim(r)
}

func (s *State) sendClaim(r *request) step {
	if term, ok := s.ownedTerm(r.slot); ok {
		decision := s.claims.records.Claim(s.now, s.wall, term, s.claimOf(r))
		return s.claimDecided(r, decision)
	}
	owner, ok := s.slotOwner(r.slot)
	if !ok || owner == s.self {
		return stepWait
	}
	s.send(owner.ID, message.Claim{
		Ask:         r.ask,
		Slot:        r.slot,
		Account:     r.account,
		Key:         r.IdempotencyKey,
		Fingerprint: r.Fingerprint,
		Timeout:     r.deadline.Sub(s.now),
	})
	return stepWait
}

func (s *State) claimOf(r *request) idempotency.Claim {
	return idempotency.Claim{
		Slot:        r.slot,
		Account:     r.account,
		Key:         r.IdempotencyKey,
		Fingerprint: r.Fingerprint,
		Holder:      idempotency.Holder{Host: s.self, Ask: r.ask},
		Timeout:     r.deadline.Sub(s.now),
	}
}

// claimDecided applies the owner's decision to the request that claimed.
func (s *State) claimDecided(r *request, d idempotency.Decision) step {
	switch d.Result {
	case message.ClaimGranted:
		return s.claimGranted(r)
	case message.ClaimInProgress:
		return s.waitForUse(r)
	case message.ClaimReleased:
		s.closeAsk(r)
		r.verdict = model.NotRun
		r.searchEnds = s.now.Add(claimSearch)
		return s.ask(r)
	case message.ClaimNotOwner:
		return stepWait // the ask timer tries again
	}
	s.closeAsk(r)
	if d.Result == message.ClaimDone && d.Answer != nil {
		s.replay(r, *d.Answer)
		return stepDone
	}
	reason, verdict := refusedClaim(d.Result)
	r.verdict = verdict
	s.refuse(r, reason, 0)
	return stepDone
}

func refusedClaim(result message.ClaimResult) (model.Reason, model.Verdict) {
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

func (s *State) claimGranted(r *request) step {
	isInTime := s.now.Sub(r.askedAt) <= claimGuard
	if !isInTime {
		s.refuse(r, model.ReasonIdempotencyOwner, 0)
		return stepDone
	}
	s.closeAsk(r)
	r.isHeld = true
	r.verdict = model.NotRun
	return stepNext
}

// waitForUse waits for the end of an earlier use of the key. Until it is known
// the earlier use may have run.
func (s *State) waitForUse(r *request) step {
	r.isWaiting = true
	r.verdict = model.MayHaveRun
	s.timers.Set(askTimer(r.ask), s.now.Add(claimPoll))
	return stepWait
}

// onAskTimer sends a claim again, gives up on it, or asks anew.
func (s *State) onAskTimer(ask uint64) {
	r, ok := s.requests[s.claims.asks[ask]]
	if !ok || r.ask != ask {
		return
	}
	isStale := s.now.Sub(r.askedAt) >= claimGuard
	switch {
	case r.isWaiting:
		s.continueWith(r, s.ask(r))
	case s.now >= r.searchEnds:
		s.refuse(r, model.ReasonIdempotencyOwner, claimSearch)
	case isStale:
		s.continueWith(r, s.ask(r))
	default:
		s.timers.Set(askTimer(ask), s.now.Add(claimResend))
		s.continueWith(r, s.sendClaim(r))
	}
}

// continueWith goes on with a request after a stage that had waited.
func (s *State) continueWith(r *request, result step) {
	if result != stepNext {
		return
	}
	r.stage++
	s.advance(r)
}

// dropAsk ends the current ask. A grant may be on its way, so the owner is
// told that nothing ran under it.
func (s *State) dropAsk(r *request) {
	if r.ask == 0 || r.isHeld {
		return
	}
	if _, open := s.claims.asks[r.ask]; !open {
		return
	}
	s.closeAsk(r)
	if !r.isWaiting {
		s.reportEnd(r, model.NotRun, nil)
	}
}

// closeAsk ends the current ask because its answer is known.
func (s *State) closeAsk(r *request) {
	delete(s.claims.asks, r.ask)
	s.timers.Cancel(askTimer(r.ask))
}

// retainAnswer returns the size up to which the answer is to be copied, 0 for
// requests without a claim.
func (s *State) retainAnswer(r *request) int {
	if !r.isHeld {
		return 0
	}
	return idempotency.MaxAnswerBytes
}

// endClaim tells the owner of the request's key, if it holds a claim, how the
// request ended. answer is nil where none is retained.
func (s *State) endClaim(r *request, answer *model.Answer) {
	if !r.isHeld {
		s.dropAsk(r)
		return
	}
	r.isHeld = false
	s.reportEnd(r, r.verdict, answer)
}

func (s *State) reportEnd(r *request, verdict model.Verdict, answer *model.Answer) {
	s.claims.ends[r.ask] = &pendingEnd{message: message.ClaimEnd{
		Ask:     r.ask,
		Slot:    r.slot,
		Account: r.account,
		Key:     r.IdempotencyKey,
		Verdict: verdict,
		Answer:  answer,
	}}
	s.sendEnd(r.ask)
}

// sendEnd reports the end of a use to the slot's present owner until it is
// acknowledged.
func (s *State) sendEnd(ask uint64) {
	end, ok := s.claims.ends[ask]
	if !ok {
		return
	}
	if end.sends == maxEndSends {
		delete(s.claims.ends, ask)
		s.checkStopped()
		return
	}
	end.sends++
	owner, isKnown := s.slotOwner(end.message.Slot)
	if isKnown && owner == s.self {
		delete(s.claims.ends, ask)
		s.applyEnd(s.self, end.message)
		return
	}
	if isKnown {
		s.send(owner.ID, end.message)
	}
	s.timers.Set(endTimer(ask), s.now.Add(endResend))
}

func (s *State) onClaimAnswer(_ model.HostRef, m message.ClaimAnswer) {
	s.onDecision(m.Ask, idempotency.Decision{Result: m.Result, Answer: m.Answer})
}

func (s *State) onDecision(ask uint64, d idempotency.Decision) {
	r, ok := s.requests[s.claims.asks[ask]]
	if !ok || r.ask != ask || r.stage != stageClaim {
		return
	}
	s.continueWith(r, s.claimDecided(r, d))
}

func (s *State) onClaimEndAck(_ model.HostRef, m message.ClaimEndAck) {
	delete(s.claims.ends, m.Ask)
	s.timers.Cancel(endTimer(m.Ask))
	s.checkStopped()
}
