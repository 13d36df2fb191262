package decision

import (
	"slices"
	"time"

	tokens "pollensail.dev/decision/admission"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// admission is what a request holds of its account's tokens.
type admission struct {
	token     tokens.Token // zero grant: none, or spent
	admitting bool         // admit runs
	// readmitted is true while a request that has a place at a server goes
	// through admission again.
	readmitted bool
}

// admit takes a token of the request's account, where it has a limit.
func (s *State) admit(r *request) step {
	if r.account == "" || r.token.Grant != 0 || s.isUnlimited(r.account) {
		return stepNext
	}
	s.limitsConfigured()
	if token, ok := s.limits.holder.Take(s.now, r.account); ok {
		s.hold(r, token)
		s.runTokens()
		return stepNext
	}
	r.admitting = true
	s.limits.holder.Wait(s.now, r.account, r.Request)
	s.runTokens()
	r.admitting = false
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

func (s *State) hold(r *request, token tokens.Token) {
	r.token = token
	r.notAfter = min(r.notAfter, token.Until)
}

// minTokenLeft is what must be left of a token's validity at a forward: enough
// to write the first byte.
const minTokenLeft = 100 * time.Millisecond

// ensureToken replaces a token that ran out while the request waited for a
// server. It reports false when the request went back to admission. Requests
// with a claim keep their token, because the claim ends at its own time.
func (s *State) ensureToken(r *request) bool {
	hasExpired := r.token.Grant != 0 && r.attempts == 0 && s.now.Add(minTokenLeft) >= r.token.Until
	if !hasExpired || r.isHeld {
		r.readmitted = false
		return true
	}
	s.limits.holder.Release(s.now, r.token)
	r.token = tokens.Token{}
	r.notAfter = model.Never
	r.stage = stageAdmit
	r.readmitted = true
	s.advance(r)
	return false
}

// spendToken counts the request's token as used. A token is used when the
// request is forwarded first; until then it is outstanding at its owner.
func (s *State) spendToken(r *request) {
	if r.token.Grant == 0 || r.attempts != 1 {
		return
	}
	s.limits.holder.Spend(s.now, r.token)
	s.runTokens()
}

// endAdmission gives back what a refused request waits for or holds unused.
func (s *State) endAdmission(r *request) {
	if r.account == "" {
		return
	}
	s.limits.holder.Cancel(r.account, r.Request)
	if r.token.Grant != 0 && r.attempts == 0 {
		s.limits.holder.Release(s.now, r.token)
		r.token = tokens.Token{}
	}
	s.runTokens()
}

// runTokens carries out the results of admission until there are none. Nested
// calls leave theirs to the outermost.
func (s *State) runTokens() {
	l := &s.limits
	if l.isRunning {
		return
	}
	l.isRunning = true
	for {
		result, ok := l.holder.Next()
		if !ok {
			break
		}
		s.runToken(result)
	}
	l.isRunning = false
	if due := l.holder.Due(); due != model.Never {
		s.setLimitsTimer(limitsTokens, due)
	}
}

func (s *State) runToken(result tokens.Result) {
	switch t := result.(type) {
	case tokens.Ask:
		s.passAsk(t.Message)
	case tokens.Admitted:
		s.admitted(t)
	case tokens.Refused:
		if r, ok := s.requests[t.Request]; ok && r.stage == stageAdmit {
			s.refuse(r, t.Reason, t.RetryAfter)
		}
	}
}

func (s *State) admitted(t tokens.Admitted) {
	r, ok := s.requests[t.Request]
	if !ok || r.stage != stageAdmit {
		s.limits.holder.Release(s.now, t.Token)
		return
	}
	s.hold(r, t.Token)
	if !r.admitting {
		r.stage++
		s.advance(r)
	}
}

// passAsk brings an ask to the owner of its slot, without a message where that
// is this host.
func (s *State) passAsk(m message.TokenAsk) {
	if _, ok := s.slotOwned(m.Slot); ok {
		answer := s.limits.owner.Answer(s.now, s.self, m, s.shareOf(m.Slot)(m.Account))
		if m.Tokens > 0 {
			s.limits.holder.Granted(s.now, answer)
		}
		return
	}
	owner, ok := s.slotOwner(m.Slot)
	if !ok || owner == s.self {
		s.limits.holder.Unreachable(s.now, m)
		return
	}
	s.send(owner.ID, m)
}

func (s *State) onTokenAsk(from model.HostRef, m message.TokenAsk) {
	s.limitsConfigured()
	answer := message.TokenGrant{Ask: m.Ask, Slot: m.Slot, Account: m.Account, NotOwner: true}
	if _, ok := s.slotOwned(m.Slot); ok {
		answer = s.limits.owner.Answer(s.now, from, m, s.shareOf(m.Slot)(m.Account))
	}
	if m.Tokens > 0 {
		s.send(from.ID, answer)
	}
}

func (s *State) onTokenGrant(_ model.HostRef, m message.TokenGrant) {
	s.limits.holder.Granted(s.now, m)
	s.runTokens()
}

// shareOf returns the function that gives an account's limit at a slot.
func (s *State) shareOf(id model.SlotID) func(model.AccountID) tokens.Limit {
	return func(account model.AccountID) tokens.Limit {
		domain := slices.Index(s.snapshot.Domains, id.Domain)
		a, ok := s.snapshot.Accounts[account]
		if !ok || domain < 0 || tokens.SlotIndex(account, s.snapshot.SlotsPerDomain) != id.Index {
			return tokens.Limit{}
		}
		limit := tokens.Limit{Rate: a.Rate, Burst: a.Burst}
		return tokens.Share(account, limit, domain, len(s.snapshot.Domains))
	}
}

// tokenSources returns the slots that hold an account's shares, beginning with
// this host's failure domain.
func (s *State) tokenSources(account model.AccountID) []tokens.Source {
	if s.snapshot == nil {
		return nil
	}
	index := tokens.SlotIndex(account, s.snapshot.SlotsPerDomain)
	var sources []tokens.Source
	own := max(0, slices.Index(s.snapshot.Domains, s.domain))
	for i := range s.snapshot.Domains {
		domain := s.snapshot.Domains[(own+i)%len(s.snapshot.Domains)]
		id := model.SlotID{Domain: domain, Index: index}
		limit := s.shareOf(id)(account)
		if limit.Burst > 0 {
			sources = append(sources, tokens.Source{Slot: id, Limit: limit, IsNear: domain == s.domain})
		}
	}
	return sources
}

func (s *State) sweepBuckets() {
	for _, held := range s.limits.slots.Held() {
		s.limits.owner.Sweep(s.now, held.Slot, s.shareOf(held.Slot))
	}
}
