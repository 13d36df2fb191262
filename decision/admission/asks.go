package admission

import (
	"cmp"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// isLow reports whether more tokens are to be asked for ahead.
func (a *holding) isLow(now model.Instant) bool {
	_, low := a.ahead(now)
	return low > 0 && a.usable(now) < low
}

// wanted returns how many tokens to ask for now: one for each request that
// waits, and for steady demand some ahead, less those asked for already.
func (a *holding) wanted(now model.Instant) int {
	expected := a.usable(now) - len(a.waiters)
	for _, s := range a.sources {
		if s.ask != 0 && now < s.askedAt.Add(hedgeAfter) {
			expected += s.asked
		}
	}
	target, low := a.ahead(now)
	if expected >= low {
		return 0
	}
	return target - expected
}

// askFor asks owners for the tokens that are wanted: the best one for all of
// them, or several, each for a part, where more than one request waits for
// owners in other failure domains.
func (h *Holder) askFor(now model.Instant, a *holding) {
	a.giveUpAsks(now)
	wanted := a.wanted(now)
	if wanted <= 0 {
		return
	}
	open := a.askable(now)
	if len(open) == 0 {
		return
	}
	if open[0].IsNear || len(a.waiters) <= 1 {
		h.ask(now, a, open[0], wanted)
		return
	}
	part := (wanted + len(open) - 1) / len(open)
	for _, s := range open {
		n := min(part, wanted)
		if n == 0 {
			return
		}
		wanted -= n
		h.ask(now, a, s, n)
	}
}

// giveUpAsks leaves out owners that have not answered.
func (a *holding) giveUpAsks(now model.Instant) {
	for i := range a.sources {
		s := &a.sources[i]
		if s.ask != 0 && now >= s.askedAt.Add(askTimeout) {
			s.ask = 0
			s.awayUntil = now.Add(awayFor)
		}
	}
}

// askable returns the sources that can be asked, the best first.
func (a *holding) askable(now model.Instant) []*source {
	var open []*source
	for i := range a.sources {
		s := &a.sources[i]
		if s.ask == 0 && s.askableFrom() <= now {
			open = append(open, s)
		}
	}
	slices.SortStableFunc(open, func(x, y *source) int {
		return cmp.Compare(y.preference(now), x.preference(now))
	})
	return open
}

// nearBonus is how much fuller, as a part of its burst, a share in another
// failure domain must be to be preferred. Shares that are drawn upon evenly
// lose the least to being full; the near one answers sooner.
const nearBonus = 0.3

// preference is how full the share is thought to be, with the bonus.
func (s *source) preference(now model.Instant) float64 {
	left := s.left + accrued(s.Limit.Rate, now.Sub(s.leftAt))
	p := min(1, left/float64(s.Limit.Burst))
	if s.IsNear {
		p += nearBonus
	}
	return p
}

func (s *source) askableFrom() model.Instant { return max(s.emptyUntil, s.awayUntil) }

func (h *Holder) ask(now model.Instant, a *holding, s *source, tokens int) {
	h.lastAsk++
	s.ask, s.askedAt, s.asked = h.lastAsk, now, tokens
	h.asks[h.lastAsk] = &ask{account: a.account, slot: s.Slot, at: now}
	h.askOrder = append(h.askOrder, h.lastAsk)
	h.emit(Ask{message.TokenAsk{
		Ask:     h.lastAsk,
		Slot:    s.Slot,
		Account: a.account,
		Tokens:  tokens,
		Ahead:   max(0, tokens-len(a.waiters)),
		Settled: a.takeDone(now, s.Slot),
	}})
}

func (h *Holder) forgetAsks(now model.Instant) {
	for len(h.askOrder) > 0 {
		first := h.asks[h.askOrder[0]]
		if first.at.Add(askMemory) > now {
			return
		}
		delete(h.asks, h.askOrder[0])
		h.askOrder = h.askOrder[1:]
	}
}

// Granted takes the answer to an ask. Each ask yields at most one grant:
// tokens of a second grant, made because the ask arrived twice, and of a grant
// that arrives late go back unused.
func (h *Holder) Granted(now model.Instant, m message.TokenGrant) {
	asked, ok := h.asks[m.Ask]
	if !ok || asked.slot != m.Slot || asked.account != m.Account {
		return
	}
	if asked.answered {
		if m.Grant != 0 && m.Grant != asked.grant {
			h.giveBack(m)
		}
		return
	}
	asked.answered, asked.grant = true, m.Grant
	a := h.holding(now, m.Account)
	a.answered(now, m)
	isLate := now > asked.at.Add(acceptWithin)
	switch {
	case m.Grant != 0 && isLate:
		h.giveBack(m)
	case m.Grant != 0:
		a.grants = append(a.grants, held{
			slot: m.Slot, id: m.Grant, left: int32(m.Tokens),
			until: asked.at.Add(Validity), gotAt: now,
		})
	}
	h.step(now, a)
}

// answered takes what an answer says about its sender.
func (a *holding) answered(now model.Instant, m message.TokenGrant) {
	s := a.source(m.Slot)
	if s == nil {
		return
	}
	if s.ask == m.Ask {
		s.ask = 0
	}
	s.awayUntil, s.emptyUntil = 0, 0
	if m.NotOwner {
		s.awayUntil = now.Add(notOwnerFor)
		return
	}
	s.left, s.leftAt = float64(m.Left), now
	if m.NextToken > 0 || m.Tokens == 0 {
		s.emptyUntil = now.Add(min(max(m.NextToken, minEmpty), maxEmpty))
	}
}

func (h *Holder) giveBack(m message.TokenGrant) {
	h.emit(Ask{message.TokenAsk{
		Slot: m.Slot, Account: m.Account, Settled: []message.Settlement{{Grant: m.Grant}},
	}})
}

// Unreachable says that an ask cannot be passed on, because no owner of its
// slot is known.
func (h *Holder) Unreachable(now model.Instant, m message.TokenAsk) {
	asked, ok := h.asks[m.Ask]
	if !ok || asked.answered {
		return
	}
	asked.answered = true
	a := h.holding(now, m.Account)
	if s := a.source(m.Slot); s != nil {
		s.ask = 0
		s.awayUntil = now.Add(notOwnerFor)
	}
	h.step(now, a)
}

func (a *holding) settleDelay(now model.Instant) time.Duration {
	if target, _ := a.ahead(now); target > 0 {
		return settleLate
	}
	return settleSoon
}

// settle sends the settlements that have waited long enough for an ask.
func (h *Holder) settle(now model.Instant, a *holding) {
	for i := 0; i < len(a.grants); i++ {
		g := &a.grants[i]
		if !g.isDone() || now < max(g.usedAt, g.gotAt).Add(a.settleDelay(now)) {
			continue
		}
		slot := g.slot
		h.emit(Ask{message.TokenAsk{Slot: slot, Account: a.account, Settled: a.takeDone(now, slot)}})
		i = -1
	}
}

// takeDone removes the grants of a slot that can be settled.
func (a *holding) takeDone(now model.Instant, slot model.SlotID) []message.Settlement {
	var settled []message.Settlement
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.slot != slot || !g.isDone() {
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
