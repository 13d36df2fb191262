package admission

import (
	"cmp"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// needsRefill reports whether the account should prefetch more tokens.
func (a *accountState) needsRefill(now model.Instant) bool {
	_, low := a.prefetchTargets(now)
	return low > 0 && a.usableTokens(now) < low
}

// tokensToRequest returns how many tokens to ask for now: one for each queued
// request plus the prefetch target, less the usable tokens and those of pending
// asks. It returns none while what is expected to remain for later requests is
// not below the prefetch threshold. Asks that have been pending for hedgeDelay
// do not count, so that another owner is asked as well.
func (a *accountState) tokensToRequest(now model.Instant) int {
	expected := a.usableTokens(now) - len(a.waiters)
	for _, s := range a.sources {
		if s.pendingAsk != 0 && now < s.askedAt.Add(hedgeDelay) {
			expected += s.pendingTokens
		}
	}
	target, low := a.prefetchTargets(now)
	if expected >= low {
		return 0
	}
	return target - expected
}

// sendAsks asks owners for the tokens that are needed. The best source is asked
// for all of them, unless it is in another failure domain and more than one
// request is queued: then the tokens are split over all sources that can be
// asked. Once an owner has said that its share is short or the demand over the rate,
// all others are asked at once, so that a refusal takes two round trips at most.
func (l *Limiter) sendAsks(now model.Instant, a *accountState) {
	l.resendAsks(now, a)
	needed := a.tokensToRequest(now)
	if needed <= 0 {
		return
	}
	askable := a.askableSources(now)
	if len(askable) == 0 {
		return
	}
	if a.hasShortSource(now) || a.isOverRate(now) {
		for _, s := range askable {
			l.sendAsk(now, a, s, needed)
		}
		return
	}
	if askable[0].SameDomain || len(a.waiters) <= 1 {
		l.sendAsk(now, a, askable[0], needed)
		return
	}
	part := (needed + len(askable) - 1) / len(askable)
	for _, s := range askable {
		n := min(part, needed)
		if n == 0 {
			return
		}
		needed -= n
		l.sendAsk(now, a, s, n)
	}
}

// resendAsks sends pending asks again, because the ask, with its settlements,
// or the answer may be lost. An owner that has not answered within ownerTimeout
// is not asked for a while. Resending is safe: the owner answers a repeated ask
// with the same grant.
func (l *Limiter) resendAsks(now model.Instant, a *accountState) {
	for i := range a.sources {
		s := &a.sources[i]
		switch {
		case s.pendingAsk == 0 || now < s.lastSentAt.Add(resendInterval):
		case now < s.askedAt.Add(ownerTimeout):
			s.lastSentAt = now
			s.lastAsk.Arrived = 0 // counted with the first copy, if that arrived
			l.emit(Ask{s.lastAsk})
		default:
			s.pendingAsk = 0
			s.backoffUntil = now.Add(unresponsiveBackoff)
			s.missing = model.CauseNoAnswer
		}
	}
}

// askableSources returns the sources that can be asked now, by descending
// preference.
func (a *accountState) askableSources(now model.Instant) []*source {
	var askable []*source
	for i := range a.sources {
		s := &a.sources[i]
		if s.pendingAsk == 0 && s.askableFrom() <= now {
			askable = append(askable, s)
		}
	}
	slices.SortStableFunc(askable, func(x, y *source) int {
		return cmp.Compare(y.preference(now), x.preference(now))
	})
	return askable
}

// sameDomainBonus is added to the fill level, a fraction of the burst, of a
// share in this host's failure domain. Drawing on the fullest share loses the
// least accrual to full buckets; an owner in the same domain answers sooner.
const sameDomainBonus = 0.3

// preference is the estimated fill level of the share, 0 to 1, plus
// sameDomainBonus where it applies.
func (s *source) preference(now model.Instant) float64 {
	level := s.level + accrued(s.Limit.Rate, now.Sub(s.levelAt))
	p := min(1, level/float64(s.Limit.Burst))
	if s.SameDomain {
		p += sameDomainBonus
	}
	return p
}

// askableFrom returns when the source may be asked again, which is once both
// backoffs have ended.
func (s *source) askableFrom() model.Instant { return max(s.emptyUntil, s.backoffUntil) }

func (l *Limiter) sendAsk(now model.Instant, a *accountState, s *source, tokens int) {
	l.lastAsk++
	s.pendingAsk, s.askedAt, s.lastSentAt, s.pendingTokens = l.lastAsk, now, now, tokens
	l.asks[l.lastAsk] = &sentAsk{account: a.account, slot: s.Slot, at: now}
	l.askOrder = append(l.askOrder, l.lastAsk)
	s.lastAsk = message.TokenAsk{
		Ask:     l.lastAsk,
		Slot:    s.Slot,
		Account: a.account,
		Tokens:  tokens,
		Ahead:   max(0, tokens-len(a.waiters)),
		Settled: a.collectSettlements(now, s.Slot),
		Arrived: a.reportArrivals(now, s),
	}
	l.emit(Ask{s.lastAsk})
}

// pruneAsks drops the asks that are older than askRetention.
func (l *Limiter) pruneAsks(now model.Instant) {
	for len(l.askOrder) > 0 {
		first := l.asks[l.askOrder[0]]
		if first.at.Add(askRetention) > now {
			return
		}
		delete(l.asks, l.askOrder[0])
		l.askOrder = l.askOrder[1:]
	}
}

// HandleGrant handles the answer to an ask. Each ask yields at most one grant:
// the tokens of a second grant, made because the ask arrived twice, and those
// of a grant that arrives late are returned unused.
func (l *Limiter) HandleGrant(now model.Instant, m message.TokenGrant) {
	sent, ok := l.asks[m.Ask]
	if !ok || sent.slot != m.Slot || sent.account != m.Account {
		return
	}
	if sent.answered {
		if m.Grant != 0 && m.Grant != sent.grant {
			l.returnGrant(m)
		}
		return
	}
	sent.answered, sent.grant = true, m.Grant
	a := l.account(now, m.Account)
	a.recordAnswer(now, m)
	isLate := now > sent.at.Add(maxAnswerDelay)
	switch {
	case m.Grant != 0 && isLate:
		l.returnGrant(m)
	case m.Grant != 0:
		a.grants = append(a.grants, heldGrant{
			slot: m.Slot, id: m.Grant, unused: int32(m.Tokens),
			validUntil: sent.at.Add(Validity), receivedAt: now,
		})
	}
	l.update(now, a)
}

// recordAnswer updates what is known of the source that sent an answer.
func (a *accountState) recordAnswer(now model.Instant, m message.TokenGrant) {
	s := a.source(m.Slot)
	if s == nil {
		return
	}
	if s.pendingAsk == m.Ask {
		s.pendingAsk = 0
	}
	s.backoffUntil, s.emptyUntil = 0, 0
	s.ownerReport.record(now, m)
	if m.NotOwner {
		s.backoffUntil = now.Add(notOwnerBackoff)
		return
	}
	s.level, s.levelAt = float64(m.Left), now
	if m.NextToken > 0 || m.Tokens == 0 {
		s.emptyUntil = now.Add(min(max(m.NextToken, minEmptyBackoff), s.longestBackoff()))
	}
}

// returnGrant settles a grant of which no token was spent.
func (l *Limiter) returnGrant(m message.TokenGrant) {
	l.emit(Ask{message.TokenAsk{
		Slot: m.Slot, Account: m.Account, Settled: []message.Settlement{{Grant: m.Grant}},
	}})
}

// HandleNoOwner reports that an ask could not be sent, because no owner of its
// slot is known.
func (l *Limiter) HandleNoOwner(now model.Instant, m message.TokenAsk) {
	sent, ok := l.asks[m.Ask]
	if !ok || sent.answered {
		return
	}
	sent.answered = true
	a := l.account(now, m.Account)
	if s := a.source(m.Slot); s != nil {
		s.pendingAsk = 0
		s.backoffUntil = now.Add(notOwnerBackoff)
		s.missing = model.CauseOwnerUnknown
	}
	l.update(now, a)
}

// settleDelay returns how long a settlement waits for an ask to carry it.
func (a *accountState) settleDelay(now model.Instant) time.Duration {
	if target, _ := a.prefetchTargets(now); target > 0 {
		return settleDelayPrefetch
	}
	return settleDelayOnDemand
}

// sendSettlements sends, in a message of their own, the settlements that no ask
// has carried within settleDelay.
func (l *Limiter) sendSettlements(now model.Instant, a *accountState) {
	for i := 0; i < len(a.grants); i++ {
		g := &a.grants[i]
		if !g.isSettleable() || now < max(g.usedAt, g.receivedAt).Add(a.settleDelay(now)) {
			continue
		}
		slot := g.slot
		l.emit(Ask{message.TokenAsk{Slot: slot, Account: a.account, Settled: a.collectSettlements(now, slot)}})
		i = -1 // start over: collectSettlements has removed grants
	}
}

// collectSettlements removes the grants of a slot that can be settled and
// returns their settlements.
func (a *accountState) collectSettlements(now model.Instant, slot model.SlotID) []message.Settlement {
	var settled []message.Settlement
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.slot != slot || !g.isSettleable() {
			kept = append(kept, g)
			continue
		}
		s := message.Settlement{Grant: g.id, Spent: int(g.spent)}
		if g.spent > 0 {
			s.Age = now.Sub(g.usedAt)
		}
		settled = append(settled, s)
	}
	a.grants = kept
	return settled
}
