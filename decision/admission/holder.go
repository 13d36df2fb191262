package admission

import (
	"maps"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/schedule"
)

const (
	// MaxWait is how long a request waits for tokens. A short wait is better
	// than a refusal within the rate: near the bound the next token of a small
	// account accrues within some 100 ms, or another host settles its grant.
	MaxWait = 250 * time.Millisecond
	// askTimeout is how long an owner may take to answer.
	askTimeout = 50 * time.Millisecond
	// maxWaiters bounds an account's requests that wait at a host, so that an
	// account far over its rate costs little.
	maxWaiters = 64
	// acceptWithin is how old an ask may be when its answer is accepted.
	acceptWithin = 500 * time.Millisecond
	// hedgeAfter is how long an ask may take before the next owner is asked:
	// somewhat more than a round trip between failure domains.
	hedgeAfter = 15 * time.Millisecond
	// awayFor is how long an owner that did not answer is left out.
	awayFor = 250 * time.Millisecond
	// notOwnerFor is how long a host that does not own the slot any more is
	// left out. The new owner announces itself at once.
	notOwnerFor = 50 * time.Millisecond
	// returnBefore is what is left of a grant's validity when its unused tokens
	// are returned, so that the return arrives before the owner's expiry.
	returnBefore = 500 * time.Millisecond
	// surplusFor is how long a host without steady demand keeps unused tokens.
	surplusFor = 100 * time.Millisecond
	// settleSoon and settleLate are how long a used grant waits to be settled
	// together with the next ask, for accounts that get one token at a time and
	// for those that ask ahead.
	settleSoon = 2 * time.Millisecond
	settleLate = 50 * time.Millisecond
	// askMemory is how long an ask is remembered, so that a repeated answer is
	// recognized. Grants of forgotten asks have expired.
	askMemory = 3 * time.Second
	// idleFor is how long an unused account is kept.
	idleFor = 5 * time.Second
	// minEmpty and maxEmpty bound how long an owner without tokens is left out.
	minEmpty = 5 * time.Millisecond
	maxEmpty = time.Second
)

// Token is a token that a request holds.
type Token struct {
	Account model.AccountID
	Grant   uint64
	Slot    model.SlotID
	Until   model.Instant // the request may be forwarded until then
}

// Result is something that the caller has to carry out.
type Result interface{ result() }

// Ask asks to pass a message to the owner of its slot. An answer goes to
// Granted; where there is no known owner, Unreachable is called.
type Ask struct{ Message message.TokenAsk }

// Admitted says that a request has got a token.
type Admitted struct {
	Request model.RequestID
	Token   Token
}

// Refused says that a request gets no token.
type Refused struct {
	Request    model.RequestID
	Reason     model.Reason
	RetryAfter time.Duration
}

func (Ask) result()      {}
func (Admitted) result() {}
func (Refused) result()  {}

// Source is a slot that holds a share of an account.
type Source struct {
	Slot  model.SlotID
	Limit Limit // of the share
	// IsNear is true in this host's failure domain.
	IsNear bool
}

// Sources returns the sources of an account.
type Sources func(model.AccountID) []Source

// Holder is the tokens that a host holds of slot owners. Make it with
// NewHolder.
type Holder struct {
	sources    Sources
	generation int // of sources
	accounts   map[model.AccountID]*holding
	due        *schedule.Schedule[model.AccountID]
	asks       map[uint64]*ask
	askOrder   []uint64
	lastAsk    uint64
	out        []Result
}

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
	asked      int
}

// ask is an ask that was sent.
type ask struct {
	account  model.AccountID
	slot     model.SlotID
	at       model.Instant
	answered bool
	grant    uint64 // of the first answer
}

// NewHolder returns a holder without tokens.
func NewHolder(sources Sources) *Holder {
	return &Holder{
		sources:  sources,
		accounts: make(map[model.AccountID]*holding),
		due:      schedule.New[model.AccountID](),
		asks:     make(map[uint64]*ask),
	}
}

// Reconfigure says that sources may give other slots than before.
func (h *Holder) Reconfigure() { h.generation++ }

// Next removes and returns the earliest result. It reports false when there is
// none.
func (h *Holder) Next() (Result, bool) {
	if len(h.out) == 0 {
		return nil, false
	}
	r := h.out[0]
	h.out = h.out[1:]
	if len(h.out) == 0 {
		h.out = nil
	}
	return r, true
}

func (h *Holder) emit(r Result) { h.out = append(h.out, r) }

// Due returns when Tick is to be called, or model.Never.
func (h *Holder) Due() model.Instant { return h.due.Next() }

// Tick does what is due.
func (h *Holder) Tick(now model.Instant) {
	for {
		account, ok := h.due.Pop(now)
		if !ok {
			return
		}
		h.step(now, h.accounts[account])
	}
}

// Take takes a token that is held. It reports false when there is none; the
// caller then calls Wait.
func (h *Holder) Take(now model.Instant, account model.AccountID) (Token, bool) {
	a := h.holding(now, account)
	a.usedAt = now
	a.demand.add(now)
	if len(a.waiters) > 0 {
		return Token{}, false
	}
	token, ok := a.take(now)
	if ok && a.isLow(now) {
		h.step(now, a)
	}
	return token, ok
}

// Wait makes a request wait for a token: a result Admitted or Refused follows.
func (h *Holder) Wait(now model.Instant, account model.AccountID, request model.RequestID) {
	a := h.holding(now, account)
	if len(a.waiters) >= maxWaiters {
		h.emit(a.refusal(now, request))
		return
	}
	a.waiters = append(a.waiters, waiter{request, now.Add(MaxWait)})
	h.step(now, a)
}

// Cancel ends a request's wait, if any.
func (h *Holder) Cancel(account model.AccountID, request model.RequestID) {
	a, ok := h.accounts[account]
	if !ok {
		return
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return w.request == request })
}

// Spend says that the request with the token has been forwarded.
func (h *Holder) Spend(now model.Instant, token Token) {
	a, g := h.find(token)
	if g == nil {
		return
	}
	g.reserved--
	g.spent++
	g.usedAt = now
	if g.isDone() {
		h.wake(a, now.Add(a.settleDelay(now)))
	}
}

// Release gives a token back that was not used.
func (h *Holder) Release(now model.Instant, token Token) {
	a, g := h.find(token)
	if g == nil {
		return
	}
	g.reserved--
	g.left++
	h.step(now, a)
}

func (h *Holder) find(token Token) (*holding, *held) {
	a, ok := h.accounts[token.Account]
	if !ok {
		return nil, nil
	}
	for i := range a.grants {
		if g := &a.grants[i]; g.id == token.Grant && g.slot == token.Slot && g.reserved > 0 {
			return a, g
		}
	}
	return nil, nil
}

// Flush returns every unused token, because the host stops.
func (h *Holder) Flush(now model.Instant) {
	for _, account := range slices.Sorted(maps.Keys(h.accounts)) {
		a := h.accounts[account]
		for i := range a.grants {
			a.grants[i].isBack = true
			a.grants[i].gotAt = now.Add(-Validity)
		}
		h.step(now, a)
	}
}

func (h *Holder) holding(now model.Instant, account model.AccountID) *holding {
	a, ok := h.accounts[account]
	if !ok {
		a = &holding{account: account, generation: -1, usedAt: now}
		h.accounts[account] = a
	}
	if a.generation != h.generation {
		a.generation = h.generation
		a.setSources(now, h.sources(account))
	}
	return a
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

// wake makes the account due no later than the given instant.
func (h *Holder) wake(a *holding, at model.Instant) { h.due.SetEarlier(a.account, at) }

// step does everything that an account needs now and sets when it is due next.
func (h *Holder) step(now model.Instant, a *holding) {
	if a == nil {
		return
	}
	a.expire(now)
	h.serve(now, a)
	h.askFor(now, a)
	h.refuseWaiters(now, a)
	h.settle(now, a)
	h.forgetAsks(now)
	if a.isIdle(now) {
		h.due.Cancel(a.account)
		delete(h.accounts, a.account)
		return
	}
	h.due.Set(a.account, a.nextDue(now))
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

// serve gives tokens to requests that wait, the first first.
func (h *Holder) serve(now model.Instant, a *holding) {
	for len(a.waiters) > 0 {
		token, ok := a.take(now)
		if !ok {
			return
		}
		h.emit(Admitted{a.waiters[0].request, token})
		a.waiters = a.waiters[1:]
	}
}

// refuseWaiters refuses the requests that have waited long enough, and all of
// them when no owner can have a token in time.
func (h *Holder) refuseWaiters(now model.Instant, a *holding) {
	hope := a.hope(now)
	for len(a.waiters) > 0 {
		w := a.waiters[0]
		if now < w.deadline && hope <= w.deadline {
			return
		}
		h.emit(a.refusal(now, w.request))
		a.waiters = a.waiters[1:]
	}
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
		return s.askedAt.Add(askTimeout)
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
