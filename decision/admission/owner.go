package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Validity is how long a grant may be used. A host counts it from before its
// ask, the owner from the grant.
const Validity = 2 * time.Second

// Owner is the buckets of the slots that a host owns. The zero value is not
// usable; call NewOwner.
type Owner struct {
	slots map[model.SlotID]*ownedSlot
}

// ownedSlot is the buckets of one slot in one term.
type ownedSlot struct {
	grants uint64 // id of the last grant; the term is in the high bits
	// zeroAt is when buckets that are not kept were empty. They were full from
	// the start when isFull.
	zeroAt  model.Instant
	isFull  bool
	buckets map[model.AccountID]*bucket
}

// NewOwner returns an owner without slots.
func NewOwner() *Owner { return &Owner{slots: make(map[model.SlotID]*ownedSlot)} }

// termBits is the position of the term in a grant's id.
const termBits = 32

// Begin starts a term. The buckets are full in the first term of a slot and
// empty after a loss of the owner before.
func (o *Owner) Begin(now model.Instant, slot model.SlotID, term uint64, isFull bool) {
	o.slots[slot] = &ownedSlot{
		grants:  term << termBits,
		zeroAt:  now,
		isFull:  isFull,
		buckets: make(map[model.AccountID]*bucket),
	}
}

// Restore starts a term with the state of the one before, which was frozen
// before the given instant.
func (o *Owner) Restore(at model.Instant, slot model.SlotID, term uint64, offer message.HandoverOffer) {
	o.Begin(at.Add(-offer.ZeroAge), slot, term, offer.ZeroAge < 0)
	s := o.slots[slot]
	for _, state := range offer.Buckets {
		s.buckets[state.Account] = restoreBucket(at, state)
	}
}

func restoreBucket(at model.Instant, state message.BucketState) *bucket {
	b := &bucket{level: state.Level, at: at, fullSince: notFull}
	for _, g := range state.Outstanding {
		b.outstanding += g.Tokens
		b.grants = append(b.grants, grant{id: g.Grant, expires: at.Add(g.Expires), tokens: int32(g.Tokens)})
	}
	slices.SortFunc(b.grants, func(x, y grant) int { return cmp.Compare(x.expires, y.expires) })
	return b
}

// End drops the state of a slot.
func (o *Owner) End(slot model.SlotID) { delete(o.slots, slot) }

// Freeze writes the state of a slot into an offer, without changing it.
func (o *Owner) Freeze(now model.Instant, slot model.SlotID, offer *message.HandoverOffer, limitOf func(model.AccountID) Limit) {
	s, ok := o.slots[slot]
	if !ok {
		return
	}
	offer.ZeroAge = now.Sub(s.zeroAt)
	if s.isFull {
		offer.ZeroAge = -1
	}
	for _, account := range slices.Sorted(maps.Keys(s.buckets)) {
		b := s.buckets[account]
		b.accrue(now, limitOf(account))
		offer.Buckets = append(offer.Buckets, freezeBucket(now, account, b))
	}
}

func freezeBucket(now model.Instant, account model.AccountID, b *bucket) message.BucketState {
	state := message.BucketState{Account: account, Level: b.level}
	for _, g := range b.grants {
		state.Outstanding = append(state.Outstanding, message.GrantState{
			Grant: g.id, Tokens: int(g.tokens), Expires: g.expires.Sub(now),
		})
	}
	return state
}

// Answer settles earlier grants of an account and grants tokens. The caller
// has checked that this host owns the slot. An ask that is repeated gets the
// grant that it got before, while that is outstanding.
func (o *Owner) Answer(now model.Instant, from model.HostRef, ask message.TokenAsk, limit Limit) message.TokenGrant {
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
	by := asker{from, ask.Ask}
	if known, ok := b.granted(by); ok {
		answer.Tokens, answer.Grant = int(known.tokens), known.id
	} else {
		s.grant(now, b, by, ask, limit, &answer)
	}
	answer.Left = max(0, int(b.level))
	answer.NextToken = b.next(limit)
	return answer
}

// grant makes a new grant, if there are tokens.
func (s *ownedSlot) grant(now model.Instant, b *bucket, by asker, ask message.TokenAsk, limit Limit, answer *message.TokenGrant) {
	ahead := min(max(ask.Ahead, 0), ask.Tokens)
	answer.Tokens = b.grant(s.grants+1, by, ask.Tokens-ahead, ahead, now.Add(Validity), limit)
	if answer.Tokens > 0 {
		s.grants++
		answer.Grant = s.grants
	}
}

// bucket returns the account's bucket. One that is not kept is as full as its
// rate allows since the slot was empty.
func (s *ownedSlot) bucket(now model.Instant, account model.AccountID, limit Limit) *bucket {
	b, ok := s.buckets[account]
	if !ok {
		b = s.initial(limit)
		s.buckets[account] = b
	}
	return b
}

func (s *ownedSlot) initial(limit Limit) *bucket {
	b := &bucket{at: s.zeroAt, fullSince: notFull}
	if s.isFull {
		b.level = float64(limit.Burst)
		return b
	}
	if assumed := assumedOutstanding(limit.Burst); assumed > 0 {
		// Grants of the owner before may be in use until they expire.
		b.outstanding = assumed
		b.grants = []grant{{id: assumedGrant, expires: s.zeroAt.Add(Validity), tokens: int32(assumed)}}
	}
	return b
}

// Sweep drops buckets of a slot that are no different from ones that are not
// kept.
func (o *Owner) Sweep(now model.Instant, slot model.SlotID, limitOf func(model.AccountID) Limit) {
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

func (s *ownedSlot) isIdle(now model.Instant, b *bucket, limit Limit) bool {
	b.accrue(now, limit)
	if len(b.grants) > 0 {
		return false
	}
	initial := s.initial(limit)
	initial.accrue(now, limit)
	return b.level >= initial.level
}
