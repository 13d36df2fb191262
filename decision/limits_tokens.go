package decision

import (
	"slices"
	"time"

	"pollensail.dev/decision/admission"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// requestAdmission is what a request holds of its account's tokens.
type requestAdmission struct {
	token       admission.Token  // zero Grant: none
	tokenCause  model.TokenCause // why the request got no token
	isAdmitting bool             // admit is on the call stack
	// isReadmitted is true while a request that already has a server goes through
	// admission again.
	isReadmitted bool
}

// admit obtains a token for the request's account, if the account has a limit.
func (s *State) admit(r *request) step {
	if r.account == "" || r.token.Grant != 0 || s.isUnlimited(r.account) {
		return stepNext
	}
	s.applyLimitsConfig()
	if token, ok := s.limits.limiter.TryAcquire(s.now, r.account); ok {
		s.assignToken(r, token)
		s.applyTokenResults()
		return stepNext
	}
	r.isAdmitting = true
	s.limits.limiter.Enqueue(s.now, r.account, r.Request, r.route.Priority)
	s.applyTokenResults()
	r.isAdmitting = false
	switch {
	case r.stage == stageAnswer:
		return stepDone
	case r.token.Grant != 0:
		return stepNext
	default:
		return stepWait
	}
}

func (s *State) isUnlimited(id model.AccountID) bool {
	account, ok := s.snapshot.Accounts[id]
	return ok && account.Rate <= 0
}

func (s *State) assignToken(r *request, token admission.Token) {
	r.token = token
	r.notAfter = min(r.notAfter, token.Until)
}

// minTokenValidity is the remaining validity that a token needs when its
// request is forwarded: enough to write the first byte.
const minTokenValidity = 100 * time.Millisecond

// ensureToken replaces a token that expired while the request waited for a
// server. It reports false if the request went back to admission. Requests
// with a claim keep their token, because the claim expires on its own.
func (s *State) ensureToken(r *request) bool {
	hasExpired := r.token.Grant != 0 && r.attempts == 0 && s.now.Add(minTokenValidity) >= r.token.Until
	if !hasExpired || r.holdsClaim {
		r.isReadmitted = false
		return true
	}
	s.limits.limiter.Release(s.now, r.token)
	r.token = admission.Token{}
	r.notAfter = model.Never
	r.stage = stageAdmit
	r.isReadmitted = true
	s.advance(r)
	return false
}

// spendToken counts the request's token as used. That happens when the request
// is first forwarded; until then the token is outstanding at its owner.
func (s *State) spendToken(r *request) {
	if r.token.Grant == 0 || r.attempts != 1 {
		return
	}
	s.limits.limiter.Spend(s.now, r.token)
	s.applyTokenResults()
}

// releaseAdmission cancels the wait for a token and returns an unused one.
func (s *State) releaseAdmission(r *request) {
	if r.account == "" {
		return
	}
	s.limits.limiter.Cancel(r.account, r.Request)
	if r.token.Grant != 0 && r.attempts == 0 {
		s.limits.limiter.Release(s.now, r.token)
		r.token = admission.Token{}
	}
	s.applyTokenResults()
}

// applyTokenResults applies the results of admission until there are none.
// Nested calls leave theirs to the outermost.
func (s *State) applyTokenResults() {
	l := &s.limits
	if l.isApplyingTokens {
		return
	}
	l.isApplyingTokens = true
	for {
		result, ok := l.limiter.Next()
		if !ok {
			break
		}
		s.applyTokenResult(result)
	}
	l.isApplyingTokens = false
	if due := l.limiter.Due(); due != model.Never {
		s.setLimitsTimer(limitsTimerTokens, due)
	}
}

func (s *State) applyTokenResult(result admission.Result) {
	switch t := result.(type) {
	case admission.Ask:
		s.routeTokenAsk(t.Message)
	case admission.Admitted:
		s.onAdmitted(t)
	case admission.Refused:
		if r, ok := s.requests[t.Request]; ok && r.stage == stageAdmit {
			r.tokenCause = t.Cause
			s.refuse(r, t.Reason, t.RetryAfter)
		}
	}
}

func (s *State) onAdmitted(t admission.Admitted) {
	r, ok := s.requests[t.Request]
	if !ok || r.stage != stageAdmit {
		s.limits.limiter.Release(s.now, t.Token)
		return
	}
	s.assignToken(r, t.Token)
	if !r.isAdmitting {
		r.stage++
		s.advance(r)
	}
}

// routeTokenAsk delivers a request for tokens to the owner of its slot,
// without a message if that is this host.
func (s *State) routeTokenAsk(m message.TokenAsk) {
	if _, ok := s.ownedSlot(m.Slot); ok {
		answer := s.limits.ownedBuckets.HandleAsk(s.now, s.self, m, s.limitAt(m.Slot)(m.Account))
		if m.Tokens > 0 {
			s.limits.limiter.HandleGrant(s.now, answer)
		}
		return
	}
	owner, ok := s.slotOwner(m.Slot)
	if !ok || owner == s.self {
		s.limits.limiter.HandleNoOwner(s.now, m)
		return
	}
	s.send(owner.ID, m)
}

func (s *State) onTokenAsk(from model.HostRef, m message.TokenAsk) {
	s.applyLimitsConfig()
	answer := message.TokenGrant{Ask: m.Ask, Slot: m.Slot, Account: m.Account, NotOwner: true}
	if _, ok := s.ownedSlot(m.Slot); ok {
		answer = s.limits.ownedBuckets.HandleAsk(s.now, from, m, s.limitAt(m.Slot)(m.Account))
	}
	if m.Tokens > 0 {
		s.send(from.ID, answer)
	}
}

func (s *State) onTokenGrant(_ model.HostRef, m message.TokenGrant) {
	s.limits.limiter.HandleGrant(s.now, m)
	s.applyTokenResults()
}

// limitAt returns a function that gives an account's limit at a slot: this
// slot's share of the account's rate and burst.
func (s *State) limitAt(id model.SlotID) func(model.AccountID) admission.Limit {
	return func(account model.AccountID) admission.Limit {
		domain := slices.Index(s.snapshot.Domains, id.Domain)
		a, ok := s.snapshot.Accounts[account]
		if !ok || domain < 0 || admission.SlotIndex(account, s.snapshot.SlotsPerDomain) != id.Index {
			return admission.Limit{}
		}
		limit := admission.Limit{Rate: a.Rate, Burst: a.Burst}
		return admission.Share(account, limit, domain, len(s.snapshot.Domains))
	}
}

// tokenSources returns the slots that hold shares of an account's limit,
// starting with this host's failure domain.
func (s *State) tokenSources(account model.AccountID) []admission.Source {
	if s.snapshot == nil {
		return nil
	}
	index := admission.SlotIndex(account, s.snapshot.SlotsPerDomain)
	var sources []admission.Source
	own := max(0, slices.Index(s.snapshot.Domains, s.domain))
	for i := range s.snapshot.Domains {
		domain := s.snapshot.Domains[(own+i)%len(s.snapshot.Domains)]
		id := model.SlotID{Domain: domain, Index: index}
		limit := s.limitAt(id)(account)
		if limit.Burst > 0 {
			sources = append(sources, admission.Source{Slot: id, Limit: limit, SameDomain: domain == s.domain})
		}
	}
	return sources
}

func (s *State) sweepBuckets() {
	for _, held := range s.limits.slots.Held() {
		s.limits.ownedBuckets.EvictIdle(s.now, held.Slot, s.limitAt(held.Slot))
	}
}
