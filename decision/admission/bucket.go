package admission

import (
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// bucket is the token bucket of one account at the owner of a slot.
//
// Invariant: level + outstanding ≤ burst share whenever accrue has run.
type bucket struct {
	level       float64
	outstanding int
	at          model.Instant // up to which level has accrued
	// fullSince is since when no token accrued because level + outstanding was
	// the burst share; notFull when it is less.
	fullSince model.Instant
	grants    []grant // outstanding, by expiry
}

const notFull model.Instant = -1

// grant is a number of tokens that a host may use until they expire.
type grant struct {
	id      uint64
	expires model.Instant
	tokens  int32
	asker   asker
}

// asker names the ask that a grant answers.
type asker struct {
	host model.HostRef
	ask  uint64
}

// accrue brings the bucket up to now under the given limit. Grants that expire
// make room at their time of expiry.
func (b *bucket) accrue(now model.Instant, limit Limit) {
	for len(b.grants) > 0 && b.grants[0].expires <= now {
		b.accrueTo(b.grants[0].expires, limit)
		b.remove(0)
	}
	b.accrueTo(now, limit)
}

func (b *bucket) accrueTo(now model.Instant, limit Limit) {
	room := max(0, float64(limit.Burst-b.outstanding))
	before := b.at
	if now > b.at {
		b.level += accrued(limit.Rate, now.Sub(b.at))
		b.at = now
	}
	switch {
	case b.level < room:
		b.fullSince = notFull
		return
	case b.fullSince == notFull:
		overflow := timeFor(limit.Rate, b.level-room)
		b.fullSince = max(before, now.Add(-overflow))
	}
	b.level = room
}

// remove takes a grant out of outstanding.
func (b *bucket) remove(i int) {
	b.outstanding -= int(b.grants[i].tokens)
	b.grants = slices.Delete(b.grants, i, i+1)
	if b.outstanding < 0 {
		b.outstanding = 0
	}
}

// grant takes the needed whole tokens, and of those asked for ahead a part of
// what is left, so that no host keeps tokens that others need now.
func (b *bucket) grant(id uint64, by asker, needed, ahead int, expires model.Instant, limit Limit) int {
	whole := int(b.level + roundingSlack)
	room := b.room(limit)
	tokens := max(0, min(needed, whole, room))
	tokens += max(0, min(ahead, (whole-tokens)/2, (room-tokens)/4))
	if tokens == 0 {
		return 0
	}
	b.level -= float64(tokens)
	b.outstanding += tokens
	b.grants = append(b.grants, grant{id: id, expires: expires, tokens: int32(tokens), asker: by})
	return tokens
}

// assumedGrant is the id of the grant that stands for those of a lost owner. It
// is the first to expire.
const assumedGrant = 0

// room returns how many tokens more may be outstanding. While grants of a lost
// owner are assumed, what accrues can still be granted, within a smaller bound.
func (b *bucket) room(limit Limit) int {
	if len(b.grants) == 0 || b.grants[0].id != assumedGrant {
		return maxOutstanding(limit.Burst) - b.outstanding
	}
	own := b.outstanding - int(b.grants[0].tokens)
	return maxEarlyOutstanding(limit.Burst) - own
}

// granted returns the outstanding grant that answers an ask.
func (b *bucket) granted(by asker) (grant, bool) {
	i := slices.IndexFunc(b.grants, func(g grant) bool { return g.asker == by })
	if i < 0 {
		return grant{}, false
	}
	return b.grants[i], true
}

// roundingSlack lets a level of a whole token count as one in spite of
// rounding. The level may become negative by as much.
const roundingSlack = 1e-9

// settle ends a grant. Unspent tokens return. Tokens that could not accrue
// since the last use, because the spent ones still counted as outstanding, are
// made up for.
func (b *bucket) settle(now model.Instant, s message.Settlement, limit Limit) {
	i := slices.IndexFunc(b.grants, func(g grant) bool { return g.id == s.Grant })
	if i < 0 {
		return
	}
	tokens := int(b.grants[i].tokens)
	spent := min(max(s.Spent, 0), tokens)
	b.remove(i)
	b.level += float64(tokens-spent) + b.missed(now, s.Age, spent, limit)
	b.fullSince = notFull
	b.accrueTo(now, limit)
}

// missed returns the tokens that would have accrued had the use of the spent
// ones been known at once. The time counts once, whatever else is settled.
func (b *bucket) missed(now model.Instant, age time.Duration, spent int, limit Limit) float64 {
	if b.fullSince == notFull || spent == 0 || age < 0 {
		return 0
	}
	since := max(b.fullSince, now.Add(-age))
	return min(float64(spent), accrued(limit.Rate, now.Sub(since)))
}

// next returns when a token can be granted, as far as is known.
func (b *bucket) next(limit Limit) time.Duration {
	if b.room(limit) <= 0 {
		return settleHint
	}
	if b.level >= 1 {
		return 0
	}
	return timeFor(limit.Rate, 1-b.level)
}

// settleHint is named as the time until the next token where that depends on
// settlements.
const settleHint = 20 * time.Millisecond
