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
	// askTimeout is how long an owner may take to answer before the ask is
	// repeated, and repeatFor how long it is repeated.
	askTimeout = 50 * time.Millisecond
	repeatFor  = 200 * time.Millisecond
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
