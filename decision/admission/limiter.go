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
	// MaxWait is how long a request is queued for a token. A short wait is
	// better than a refusal within the rate: near the bound the next token of a
	// small account accrues within some 100 ms, or another host settles its
	// grant.
	MaxWait = 250 * time.Millisecond
	// resendInterval is the time after which an unanswered ask is sent again,
	// and ownerTimeout the time after which its owner counts as unresponsive.
	resendInterval = 50 * time.Millisecond
	ownerTimeout   = 200 * time.Millisecond
	// maxWaiters bounds the queued requests of an account at a host, so that an
	// account far over its rate costs little.
	maxWaiters = 64
	// maxAnswerDelay is how long after its ask a grant is still accepted.
	maxAnswerDelay = 500 * time.Millisecond
	// hedgeDelay is how long an ask may be pending before the next owner is
	// asked as well (hedged request): somewhat more than a round trip between
	// failure domains.
	hedgeDelay = 15 * time.Millisecond
	// unresponsiveBackoff is how long an owner that did not answer is not
	// asked.
	unresponsiveBackoff = 250 * time.Millisecond
	// notOwnerBackoff is how long a source is not asked after its host has
	// answered that it is not the owner any more, or when no owner is known. A
	// new owner announces itself at once.
	notOwnerBackoff = 50 * time.Millisecond
	// returnMargin is the last part of a grant's validity, in which its unused
	// tokens are returned instead of used, so that the settlement arrives
	// before the grant expires at the owner.
	returnMargin = 500 * time.Millisecond
	// surplusTimeout is how long a host without steady demand keeps unused
	// tokens.
	surplusTimeout = 100 * time.Millisecond
	// settleDelayOnDemand and settleDelayPrefetch are how long a used grant
	// waits to be settled together with the next ask, for accounts that get one
	// token at a time and for those that prefetch.
	settleDelayOnDemand = 2 * time.Millisecond
	settleDelayPrefetch = 50 * time.Millisecond
	// askRetention is how long an ask is kept, so that a duplicate answer is
	// recognized. By then its grant has expired.
	askRetention = 3 * time.Second
	// accountIdleTimeout is how long the state of an unused account is kept.
	accountIdleTimeout = 5 * time.Second
	// minEmptyBackoff and maxEmptyBackoff bound how long an owner without
	// tokens is not asked.
	minEmptyBackoff = 5 * time.Millisecond
	maxEmptyBackoff = time.Second
)

// Token is one token of a grant, reserved for a request.
type Token struct {
	Account model.AccountID
	Grant   uint64
	Slot    model.SlotID
	Until   model.Instant // the request must be forwarded before then
}

// Result is an effect that the caller has to carry out.
type Result interface{ result() }

// Ask requests that a message is sent to the owner of its slot. The answer goes
// to Limiter.HandleGrant; if no owner is known, the caller calls
// Limiter.HandleNoOwner.
type Ask struct{ Message message.TokenAsk }

// Admitted reports that a queued request has a token.
type Admitted struct {
	Request model.RequestID
	Token   Token
}

// Refused reports that a queued request gets no token. Cause is empty unless
// Reason is ReasonTokensUnavailable.
type Refused struct {
	Request    model.RequestID
	Reason     model.Reason
	Cause      model.TokenCause
	RetryAfter time.Duration
}

func (Ask) result()      {}
func (Admitted) result() {}
func (Refused) result()  {}

// Source is a slot that holds a share of an account's limit.
type Source struct {
	Slot  model.SlotID
	Limit Limit // of the share
	// SameDomain is true if the slot is in this host's failure domain.
	SameDomain bool
}

// SourcesFunc returns the sources of an account.
type SourcesFunc func(model.AccountID) []Source

// Limiter is the rate limiter of a host that admits requests. It holds the
// tokens that slot owners have granted to the host, queued requests and pending
// asks. Make it with NewLimiter.
type Limiter struct {
	sources    SourcesFunc
	generation int // counts calls of Reconfigure
	accounts   map[model.AccountID]*accountState
	due        *schedule.Schedule[model.AccountID] // when update is to be called
	asks       map[uint64]*sentAsk
	askOrder   []uint64 // keys of asks, oldest first
	lastAsk    uint64
	results    []Result
}

// sentAsk is an ask that may still be answered.
type sentAsk struct {
	account  model.AccountID
	slot     model.SlotID
	at       model.Instant
	answered bool
	grant    uint64 // of the first answer
}

// NewLimiter returns a limiter without tokens.
func NewLimiter(sources SourcesFunc) *Limiter {
	return &Limiter{
		sources:  sources,
		accounts: make(map[model.AccountID]*accountState),
		due:      schedule.New[model.AccountID](),
		asks:     make(map[uint64]*sentAsk),
	}
}

// Reconfigure makes the limiter call its SourcesFunc again for every account.
func (l *Limiter) Reconfigure() { l.generation++ }

// Next removes and returns the earliest result. It reports false when there is
// none.
func (l *Limiter) Next() (Result, bool) {
	if len(l.results) == 0 {
		return nil, false
	}
	r := l.results[0]
	l.results = l.results[1:]
	if len(l.results) == 0 {
		l.results = nil
	}
	return r, true
}

func (l *Limiter) emit(r Result) { l.results = append(l.results, r) }

// Due returns when Tick is to be called, or model.Never.
func (l *Limiter) Due() model.Instant { return l.due.Next() }

// Tick updates the accounts that are due.
func (l *Limiter) Tick(now model.Instant) {
	for {
		account, ok := l.due.Pop(now)
		if !ok {
			return
		}
		l.update(now, l.accounts[account])
	}
}

// TryAcquire reserves a token from the held grants without waiting. It reports
// false when there is none; the caller then calls Enqueue.
func (l *Limiter) TryAcquire(now model.Instant, account model.AccountID) (Token, bool) {
	a := l.account(now, account)
	a.usedAt = now
	a.demand.add(now)
	a.countArrival()
	if len(a.waiters) > 0 {
		return Token{}, false
	}
	token, ok := a.reserve(now)
	if ok {
		a.rates.admitted.add(now, 1, pressureWindow)
	}
	if ok && a.needsRefill(now) {
		l.update(now, a)
	}
	return token, ok
}

// Enqueue queues a request for a token and returns at once. A result Admitted
// or Refused follows. Requests with a lower priority value get tokens first.
func (l *Limiter) Enqueue(now model.Instant, account model.AccountID, request model.RequestID, priority int) {
	a := l.account(now, account)
	a.enqueue(waiter{request, now.Add(MaxWait), priority})
	if len(a.waiters) > maxWaiters {
		last := len(a.waiters) - 1
		l.emit(a.refusal(now, a.waiters[last].request, model.CauseWaitersFull))
		a.waiters = a.waiters[:last]
	}
	l.update(now, a)
}

// Cancel removes a request from the queue, if it is there.
func (l *Limiter) Cancel(account model.AccountID, request model.RequestID) {
	a, ok := l.accounts[account]
	if !ok {
		return
	}
	a.waiters = slices.DeleteFunc(a.waiters, func(w waiter) bool { return w.request == request })
}

// Spend records that the request with the token has been forwarded.
func (l *Limiter) Spend(now model.Instant, token Token) {
	a, g := l.findGrant(token)
	if g == nil {
		return
	}
	g.reserved--
	g.spent++
	g.usedAt = now
	if g.isSettleable() {
		l.scheduleBy(a, now.Add(a.settleDelay(now)))
	}
}

// Release makes the token of a request that was not forwarded usable again.
func (l *Limiter) Release(now model.Instant, token Token) {
	a, g := l.findGrant(token)
	if g == nil {
		return
	}
	g.reserved--
	g.unused++
	l.update(now, a)
}

// findGrant returns the grant of a reserved token; nil if it is not held any
// more.
func (l *Limiter) findGrant(token Token) (*accountState, *heldGrant) {
	a, ok := l.accounts[token.Account]
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

// Flush returns every unused token to its owner, because the host stops. Grants
// with a reserved or just spent token are settled later, as without Flush.
func (l *Limiter) Flush(now model.Instant) {
	for _, account := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[account]
		for i := range a.grants {
			a.grants[i].isReturning = true
			a.grants[i].receivedAt = now.Add(-Validity) // settleDelay is over
		}
		l.update(now, a)
	}
}

// account returns the state of an account with its present sources, and creates
// it where needed.
func (l *Limiter) account(now model.Instant, account model.AccountID) *accountState {
	a, ok := l.accounts[account]
	if !ok {
		a = &accountState{account: account, generation: -1, usedAt: now}
		l.accounts[account] = a
	}
	if a.generation != l.generation {
		a.generation = l.generation
		a.setSources(now, l.sources(account))
	}
	return a
}

// scheduleBy makes the account due no later than the given instant.
func (l *Limiter) scheduleBy(a *accountState, at model.Instant) { l.due.SetEarlier(a.account, at) }

// update does everything that is due for an account and schedules its next
// update.
func (l *Limiter) update(now model.Instant, a *accountState) {
	if a == nil {
		return
	}
	a.expire(now)
	l.admitWaiters(now, a)
	l.sendAsks(now, a)
	l.refuseWaiters(now, a)
	l.sendSettlements(now, a)
	l.pruneAsks(now)
	if a.isIdle(now) {
		l.due.Cancel(a.account)
		delete(l.accounts, a.account)
		return
	}
	l.due.Set(a.account, a.nextDue(now))
}

// admitWaiters gives tokens to queued requests in their order.
func (l *Limiter) admitWaiters(now model.Instant, a *accountState) {
	for len(a.waiters) > 0 {
		token, ok := a.reserve(now)
		if !ok {
			return
		}
		l.emit(Admitted{a.waiters[0].request, token})
		a.rates.admitted.add(now, 1, pressureWindow)
		a.waiters = a.waiters[1:]
	}
}
