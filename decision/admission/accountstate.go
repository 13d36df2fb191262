package admission

import (
	"slices"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// accountState is the state that a Limiter keeps of one account.
type accountState struct {
	account    model.AccountID
	generation int // Limiter.generation when sources was set
	sources    []source
	burst      int // sum over sources
	grants     []heldGrant
	waiters    []waiter
	demand     demand
	usedAt     model.Instant // last call of TryAcquire
	rates      admissionRates
}

// heldGrant is a grant that a slot's owner has made to this host. Each of its
// tokens is unused, reserved or spent.
type heldGrant struct {
	slot        model.SlotID
	id          uint64
	validUntil  model.Instant
	receivedAt  model.Instant
	usedAt      model.Instant // when a token was last spent
	unused      int32
	reserved    int32 // by requests that are not forwarded yet
	spent       int32
	isReturning bool // unused tokens must be returned
}

// isSettleable reports whether the outcome of all tokens is known: none is
// reserved, and none is unused except those to be returned.
func (g *heldGrant) isSettleable() bool { return g.reserved == 0 && (g.unused == 0 || g.isReturning) }

// waiter is a queued request.
type waiter struct {
	request  model.RequestID
	deadline model.Instant
	priority int // 0 is the most urgent
}

// source is a slot that holds a share of the account, with what is known of its
// owner.
type source struct {
	Source
	level         float64 // estimated tokens in the share's bucket at levelAt
	levelAt       model.Instant
	emptyUntil    model.Instant // the owner expects to have no token before then
	backoffUntil  model.Instant // not asked before then, because the owner did not answer or is not known
	pendingAsk    uint64        // 0: none
	askedAt       model.Instant // when pendingAsk was first sent
	lastSentAt    model.Instant // when pendingAsk was last sent
	lastAsk       message.TokenAsk
	pendingTokens int // tokens that pendingAsk requests
	ownerReport
}

// setSources replaces the account's sources and keeps the state of those that
// remain.
func (a *accountState) setSources(now model.Instant, sources []Source) {
	before := a.sources
	a.sources = make([]source, 0, len(sources))
	a.burst = 0
	for _, next := range sources {
		kept := source{level: float64(next.Limit.Burst), levelAt: now}
		for _, s := range before {
			if s.Slot == next.Slot {
				kept = s
			}
		}
		kept.Source = next
		a.sources = append(a.sources, kept)
		a.burst += next.Limit.Burst
	}
}

func (a *accountState) source(slot model.SlotID) *source {
	for i := range a.sources {
		if a.sources[i].Slot == slot {
			return &a.sources[i]
		}
	}
	return nil
}

func (a *accountState) isIdle(now model.Instant) bool {
	return len(a.grants) == 0 && len(a.waiters) == 0 && now >= a.usedAt.Add(accountIdleTimeout)
}

// expire drops grants whose validity has ended and marks grants whose unused
// tokens must be returned.
func (a *accountState) expire(now model.Instant) {
	a.grants = slices.DeleteFunc(a.grants, func(g heldGrant) bool { return g.validUntil <= now })
	target, _ := a.prefetchTargets(now)
	for i := range a.grants {
		g := &a.grants[i]
		isExpiring := g.validUntil.Add(-returnMargin) <= now
		isSurplus := target == 0 && len(a.waiters) == 0 && g.receivedAt.Add(surplusTimeout) <= now
		g.isReturning = g.isReturning || isExpiring || isSurplus
	}
}

// reserve takes a token from the usable grant that expires first.
func (a *accountState) reserve(now model.Instant) (Token, bool) {
	var best *heldGrant
	for i := range a.grants {
		g := &a.grants[i]
		isUsable := g.unused > 0 && !g.isReturning && now < g.validUntil.Add(-returnMargin)
		if isUsable && (best == nil || g.validUntil < best.validUntil) {
			best = g
		}
	}
	if best == nil {
		return Token{}, false
	}
	best.unused--
	best.reserved++
	return Token{Account: a.account, Grant: best.id, Slot: best.slot, Until: best.validUntil}, true
}

// usableTokens returns the number of tokens that can be reserved.
func (a *accountState) usableTokens(now model.Instant) int {
	n := 0
	for i := range a.grants {
		g := &a.grants[i]
		if !g.isReturning && now < g.validUntil.Add(-returnMargin) {
			n += int(g.unused)
		}
	}
	return n
}

// nextDue returns when the account needs update again.
func (a *accountState) nextDue(now model.Instant) model.Instant {
	due := a.usedAt.Add(accountIdleTimeout)
	for _, w := range a.waiters {
		due = min(due, w.deadline)
	}
	for _, s := range a.sources {
		due = min(due, a.sourceDue(now, s))
	}
	for i := range a.grants {
		due = min(due, a.grantDue(now, &a.grants[i]))
	}
	return max(due, now+1)
}

// sourceDue returns when a source's pending ask is due to be hedged or to be
// sent again, or when the source can be asked again.
func (a *accountState) sourceDue(now model.Instant, s source) model.Instant {
	switch {
	case s.pendingAsk != 0 && now < s.askedAt.Add(hedgeDelay):
		return s.askedAt.Add(hedgeDelay)
	case s.pendingAsk != 0:
		return s.lastSentAt.Add(resendInterval)
	case len(a.waiters) > 0 && s.askableFrom() > now:
		return s.askableFrom()
	default:
		return model.Never
	}
}

// grantDue returns when a grant must be settled, dropped or marked for return.
func (a *accountState) grantDue(now model.Instant, g *heldGrant) model.Instant {
	target, _ := a.prefetchTargets(now)
	switch {
	case g.isSettleable():
		return max(g.usedAt, g.receivedAt).Add(a.settleDelay(now))
	case g.isReturning:
		return g.validUntil
	case g.unused > 0 && target == 0:
		return g.receivedAt.Add(surplusTimeout)
	default:
		return g.validUntil.Add(-returnMargin)
	}
}
