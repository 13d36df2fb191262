package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Validity is how long the tokens of a grant may be spent. The host that
// received the grant counts from when it sent the ask; the owner counts from the
// later instant at which it made the grant. So the grant never outlives its
// entry at the owner.
const Validity = 2 * time.Second

// OwnedBuckets keeps the token buckets of the slots that this host owns. The
// zero value is not usable; call NewOwnedBuckets.
type OwnedBuckets struct {
	slots map[model.SlotID]*ownedSlot
}

// ownedSlot holds the buckets of one slot for one term.
type ownedSlot struct {
	lastGrantID uint64 // the term is in the bits from termShift on
	// emptyAt is the instant at which buckets without an entry in buckets count
	// as empty; they accrue from there. If isFull, they count as full instead.
	// An offer carries its age as HandoverOffer.ZeroAge.
	emptyAt model.Instant
	isFull  bool
	buckets map[model.AccountID]*bucket
}

// NewOwnedBuckets returns OwnedBuckets without slots.
func NewOwnedBuckets() *OwnedBuckets { return &OwnedBuckets{slots: make(map[model.SlotID]*ownedSlot)} }

// termShift is the position of the term in a grant's id, so that ids of
// different terms differ.
const termShift = 32

// Begin starts a term. Buckets start full in the first term of a slot, and
// empty after the previous owner was lost.
func (o *OwnedBuckets) Begin(now model.Instant, slot model.SlotID, term uint64, isFull bool) {
	o.slots[slot] = &ownedSlot{
		lastGrantID: term << termShift,
		emptyAt:     now,
		isFull:      isFull,
		buckets:     make(map[model.AccountID]*bucket),
	}
}

// RestoreTerm starts a term with the state that the previous owner handed over.
// The given instant must not be earlier than when that state was frozen.
func (o *OwnedBuckets) RestoreTerm(at model.Instant, slot model.SlotID, term uint64, offer message.HandoverOffer) {
	o.Begin(at.Add(-offer.ZeroAge), slot, term, offer.ZeroAge < 0)
	s := o.slots[slot]
	for _, state := range offer.Buckets {
		s.buckets[state.Account] = restoreBucket(at, state)
	}
}

func restoreBucket(at model.Instant, state message.BucketState) *bucket {
	b := &bucket{level: state.Level, accruedAt: at, fullSince: notFull, keepUntil: at.Add(state.Keep)}
	for _, g := range state.Outstanding {
		b.outstanding += g.Tokens
		b.grants = append(b.grants, grant{id: g.Grant, expires: at.Add(g.Expires), tokens: int32(g.Tokens)})
	}
	slices.SortFunc(b.grants, func(x, y grant) int { return cmp.Compare(x.expires, y.expires) })
	return b
}

// End drops the state of a slot.
func (o *OwnedBuckets) End(slot model.SlotID) { delete(o.slots, slot) }

// ExportSlot writes the state of a slot into an offer. It does not stop the
// slot; the caller must not let it answer asks afterwards.
func (o *OwnedBuckets) ExportSlot(now model.Instant, slot model.SlotID, offer *message.HandoverOffer, limitOf func(model.AccountID) Limit) {
	s, ok := o.slots[slot]
	if !ok {
		return
	}
	offer.ZeroAge = now.Sub(s.emptyAt)
	if s.isFull {
		offer.ZeroAge = -1
	}
	for _, account := range slices.Sorted(maps.Keys(s.buckets)) {
		b := s.buckets[account]
		b.accrue(now, limitOf(account))
		offer.Buckets = append(offer.Buckets, exportBucket(now, account, b))
	}
}

func exportBucket(now model.Instant, account model.AccountID, b *bucket) message.BucketState {
	state := message.BucketState{Account: account, Level: b.level, Keep: max(0, b.keepUntil.Sub(now))}
	for _, g := range b.grants {
		state.Outstanding = append(state.Outstanding, message.GrantState{
			Grant: g.id, Tokens: int(g.tokens), Expires: g.expires.Sub(now),
		})
	}
	return state
}

// HandleAsk settles earlier grants of an account and grants tokens. The caller
// has checked that this host owns the slot. A repeated ask gets the same grant
// again while the grant is outstanding.
func (o *OwnedBuckets) HandleAsk(now model.Instant, from model.HostRef, ask message.TokenAsk, limit Limit) message.TokenGrant {
	answer := message.TokenGrant{Ask: ask.Ask, Slot: ask.Slot, Account: ask.Account}
	s, ok := o.slots[ask.Slot]
	if !ok {
		answer.NotOwner = true
		return answer
	}
	b := s.bucket(now, ask.Account, limit)
	b.accrue(now, limit)
	for _, settled := range ask.Settled {
		b.settle(now, settled, limit)
	}
	if ask.Tokens <= 0 {
		return answer
	}
	b.contention.recordArrivals(now, ask.Arrived)
	b.contention.dropLapsed(now)
	by := askKey{from, ask.Ask}
	if known, ok := b.findGrant(by); ok {
		answer.Tokens, answer.Grant = int(known.tokens), known.id
		answer.NextToken = b.timeToNextToken(limit)
	} else {
		s.issueGrant(now, b, by, ask, limit, &answer)
	}
	answer.Left = max(0, int(b.level)-b.contention.promised())
	answer.Demand = b.contention.demand(now, limit.Total)
	return answer
}

// issueGrant makes a new grant, if there are tokens, and says when there will be more.
func (s *ownedSlot) issueGrant(now model.Instant, b *bucket, by askKey, ask message.TokenAsk, limit Limit, answer *message.TokenGrant) {
	ahead := min(max(ask.Ahead, 0), ask.Tokens)
	needed := ask.Tokens - ahead
	b.contention.take(now, by.host)
	answer.Tokens = b.issue(s.lastGrantID+1, by, needed, ahead, now.Add(Validity), limit)
	if answer.Tokens > 0 {
		s.lastGrantID++
		answer.Grant = s.lastGrantID
	}
	if answer.Tokens < needed {
		b.answerShort(now, by.host, needed-answer.Tokens, limit, answer)
		return
	}
	b.hintAfterGrant(now, limit, answer)
}

// bucket returns the account's bucket and creates it where needed.
func (s *ownedSlot) bucket(now model.Instant, account model.AccountID, limit Limit) *bucket {
	b, ok := s.buckets[account]
	if !ok {
		b = s.initialBucket(limit)
		s.buckets[account] = b
	}
	return b
}

// initialBucket returns the bucket of an account that has no entry.
func (s *ownedSlot) initialBucket(limit Limit) *bucket {
	b := &bucket{accruedAt: s.emptyAt, fullSince: notFull}
	if s.isFull {
		b.level = float64(limit.Burst)
		return b
	}
	if assumed := assumedOutstanding(limit.Burst); assumed > 0 {
		// Grants of the lost owner may be in use until they expire.
		b.outstanding = assumed
		b.grants = []grant{{id: assumedGrantID, expires: s.emptyAt.Add(Validity), tokens: int32(assumed)}}
	}
	return b
}

// EvictIdle evicts the buckets of a slot that hold no more state than a newly created
// one, and would not under another limit: the present one may be low for a while, or zero
// if the slot has no share or the account is gone.
func (o *OwnedBuckets) EvictIdle(now model.Instant, slot model.SlotID, limitOf func(model.AccountID) Limit) {
	s, ok := o.slots[slot]
	if !ok {
		return
	}
	for account, b := range s.buckets {
		if s.isIdle(now, b, limitOf(account)) {
			delete(s.buckets, account)
		}
	}
}

// isIdle reports whether a bucket has no grants, all that it granted has accrued again,
// and it is at least as full as a new one.
func (s *ownedSlot) isIdle(now model.Instant, b *bucket, limit Limit) bool {
	b.accrue(now, limit)
	if len(b.grants) > 0 || now < b.keepUntil {
		return false
	}
	initial := s.initialBucket(limit)
	initial.accrue(now, limit)
	return b.level >= initial.level
}
