package admission

import (
	"slices"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// holding is what a host holds of one account.
type holding struct {
	account    model.AccountID
	generation int
	sources    []source
	burst      int // sum of the sources
	grants     []held
	waiters    []waiter
	demand     demand
	usedAt     model.Instant
}

// held is a grant of a slot's owner.
type held struct {
	slot     model.SlotID
	id       uint64
	until    model.Instant
	gotAt    model.Instant
	usedAt   model.Instant
	left     int32
	reserved int32 // by requests that are not forwarded yet
	spent    int32
	isBack   bool // the tokens left are to be returned, not used
}

// isDone reports whether the grant can be settled.
func (g *held) isDone() bool { return g.reserved == 0 && (g.left == 0 || g.isBack) }

// waiter is a request that waits for a token.
type waiter struct {
	request  model.RequestID
	deadline model.Instant
}

// source is the owner of one share of an account, as far as known.
type source struct {
	Source
	left       float64 // tokens at leftAt
	leftAt     model.Instant
	emptyUntil model.Instant
	awayUntil  model.Instant
	ask        uint64 // under way; 0: none
	askedAt    model.Instant
	sentAt     model.Instant // of the newest repetition
	last       message.TokenAsk
	asked      int
}

// setSources takes the account's slots and keeps what is known of those that
// stay.
func (a *holding) setSources(now model.Instant, sources []Source) {
	before := a.sources
	a.sources = make([]source, 0, len(sources))
	a.burst = 0
	for _, configured := range sources {
		kept := source{left: float64(configured.Limit.Burst), leftAt: now}
		for _, s := range before {
			if s.Slot == configured.Slot {
				kept = s
			}
		}
		kept.Source = configured
		a.sources = append(a.sources, kept)
		a.burst += configured.Limit.Burst
	}
}

func (a *holding) source(slot model.SlotID) *source {
	for i := range a.sources {
		if a.sources[i].Slot == slot {
			return &a.sources[i]
		}
	}
	return nil
}

func (a *holding) isIdle(now model.Instant) bool {
	return len(a.grants) == 0 && len(a.waiters) == 0 && now >= a.usedAt.Add(idleFor)
}

// expire drops grants whose validity has ended and marks tokens to return.
func (a *holding) expire(now model.Instant) {
	a.grants = slices.DeleteFunc(a.grants, func(g held) bool { return g.until <= now })
	target, _ := a.ahead(now)
	for i := range a.grants {
		g := &a.grants[i]
		isOld := g.until.Add(-returnBefore) <= now
		isSurplus := target == 0 && len(a.waiters) == 0 && g.gotAt.Add(surplusFor) <= now
		g.isBack = g.isBack || isOld || isSurplus
	}
}

// take takes a token of the grant that ends first.
func (a *holding) take(now model.Instant) (Token, bool) {
	var best *held
	for i := range a.grants {
		g := &a.grants[i]
		isUsable := g.left > 0 && !g.isBack && now < g.until.Add(-returnBefore)
		if isUsable && (best == nil || g.until < best.until) {
			best = g
		}
	}
	if best == nil {
		return Token{}, false
	}
	best.left--
	best.reserved++
	return Token{Account: a.account, Grant: best.id, Slot: best.slot, Until: best.until}, true
}

// usable returns the number of tokens that can be taken.
func (a *holding) usable(now model.Instant) int {
	n := 0
	for i := range a.grants {
		g := &a.grants[i]
		if !g.isBack && now < g.until.Add(-returnBefore) {
			n += int(g.left)
		}
	}
	return n
}

// hope returns when an owner may be asked, or now while an ask is under way.
func (a *holding) hope(now model.Instant) model.Instant {
	hope := model.Never
	for _, s := range a.sources {
		if s.ask != 0 {
			return now
		}
		hope = min(hope, s.askableFrom())
	}
	return hope
}

func (a *holding) refusal(now model.Instant, request model.RequestID) Refused {
	r := Refused{Request: request, Reason: model.ReasonOverRate, RetryAfter: maxEmpty}
	for _, s := range a.sources {
		if s.awayUntil > now || s.ask != 0 {
			r.Reason = model.ReasonTokensUnavailable
		}
		r.RetryAfter = min(r.RetryAfter, max(minEmpty, s.emptyUntil.Sub(now)))
	}
	return r
}

// nextDue returns when the account needs step again.
func (a *holding) nextDue(now model.Instant) model.Instant {
	due := a.usedAt.Add(idleFor)
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

// sourceDue returns when a source may be asked or an ask has taken too long.
func (a *holding) sourceDue(now model.Instant, s source) model.Instant {
	switch {
	case s.ask != 0 && now < s.askedAt.Add(hedgeAfter):
		return s.askedAt.Add(hedgeAfter)
	case s.ask != 0:
		return s.sentAt.Add(askTimeout)
	case len(a.waiters) > 0 && s.askableFrom() > now:
		return s.askableFrom()
	default:
		return model.Never
	}
}

func (a *holding) grantDue(now model.Instant, g *held) model.Instant {
	target, _ := a.ahead(now)
	switch {
	case g.isDone():
		return max(g.usedAt, g.gotAt).Add(a.settleDelay(now))
	case g.isBack:
		return g.until
	case g.left > 0 && target == 0:
		return g.gotAt.Add(surplusFor)
	default:
		return g.until.Add(-returnBefore)
	}
}
