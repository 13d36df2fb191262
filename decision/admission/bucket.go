package admission

import (
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// bucket is the token bucket of an account's share, kept by the owner of the
// slot. Tokens accrue lazily, when accrue is called. Granted tokens leave level
// but take up room in the bucket until their grant is settled or expires.
//
// Invariant: level + outstanding ≤ burst share whenever accrue has run. The
// exception is a limit lowered below outstanding: level is then zero until
// enough grants have ended.
type bucket struct {
	level       float64       // tokens that can be granted
	outstanding int           // tokens of all grants
	accruedAt   model.Instant // level is brought up to date to this instant
	// fullSince is the instant since which nothing has accrued because level +
	// outstanding is the burst share; notFull when it is less.
	fullSince model.Instant
	// keepUntil is the instant before which the bucket must not be forgotten: by then
	// what was granted has accrued again, under the limit of each grant's time.
	keepUntil  model.Instant
	grants     []grant // by expiry
	contention contention
}

// notFull is the value of bucket.fullSince while tokens accrue.
const notFull model.Instant = -1

// grant is a number of tokens that a host may spend until the grant expires.
type grant struct {
	id      uint64
	expires model.Instant
	tokens  int32
	askKey  askKey
}

// askKey identifies an ask. Numbers of asks are unique within one process.
type askKey struct {
	host model.HostRef
	ask  uint64
}

// accrue brings the bucket up to now under the given limit. An expired grant
// makes room from its expiry on.
func (b *bucket) accrue(now model.Instant, limit Limit) {
	for len(b.grants) > 0 && b.grants[0].expires <= now {
		b.accrueTo(b.grants[0].expires, limit)
		b.removeGrant(0)
	}
	b.accrueTo(now, limit)
}

// accrueTo is accrue for a time in which no grant expires. It also updates
// fullSince: the bucket became full when the tokens that now exceed its room
// began to accrue.
func (b *bucket) accrueTo(now model.Instant, limit Limit) {
	room := max(0, float64(limit.Burst-b.outstanding))
	before := b.accruedAt
	if now > b.accruedAt {
		b.level += accrued(limit.Rate, now.Sub(b.accruedAt))
		b.accruedAt = now
	}
	switch {
	case b.level < room:
		b.fullSince = notFull
		return
	case b.fullSince == notFull:
		overflow := accrualTime(limit.Rate, b.level-room)
		b.fullSince = max(before, now.Add(-overflow))
	}
	b.level = room
}

// removeGrant deletes a grant by its index and subtracts it from outstanding.
func (b *bucket) removeGrant(i int) {
	b.outstanding -= int(b.grants[i].tokens)
	b.grants = slices.Delete(b.grants, i, i+1)
	if b.outstanding < 0 {
		b.outstanding = 0
	}
}

// issue makes a grant and returns its tokens, or 0 if there are none. It grants
// the needed tokens as far as there are whole ones and grantRoom allows. Of the
// tokens asked for ahead (prefetched), it grants at most a part of what remains,
// so that no host holds tokens that others need now. It does not grant tokens
// that are promised to other hosts (contention.take).
func (b *bucket) issue(id uint64, by askKey, needed, ahead int, expires model.Instant, limit Limit) int {
	whole := b.contention.entitlement.available(int(b.level + roundingSlack))
	room := b.grantRoom(limit)
	tokens := max(0, min(needed, whole, room))
	tokens += max(0, min(ahead, (whole-tokens)/2, (room-tokens)/4))
	if tokens == 0 {
		return 0
	}
	b.level -= float64(tokens)
	b.outstanding += tokens
	b.grants = append(b.grants, grant{id: id, expires: expires, tokens: int32(tokens), askKey: by})
	b.keepUntil = max(b.keepUntil, expires.Add(accrualTime(limit.Rate, float64(limit.Burst)-b.level)))
	return tokens
}

// assumedGrantID is the id of a placeholder grant. It stands for the unknown
// grants of an owner that was lost, and is the first to expire.
const assumedGrantID = 0

// grantRoom returns how many more tokens may be outstanding. While grants of a
// lost owner are assumed, what accrues can still be granted, within a smaller
// bound.
func (b *bucket) grantRoom(limit Limit) int {
	if len(b.grants) == 0 || b.grants[0].id != assumedGrantID {
		return maxOutstanding(limit.Burst) - b.outstanding
	}
	own := b.outstanding - int(b.grants[0].tokens)
	return maxOutstandingAfterLoss(limit.Burst) - own
}

// findGrant returns the outstanding grant that answers an ask.
func (b *bucket) findGrant(by askKey) (grant, bool) {
	i := slices.IndexFunc(b.grants, func(g grant) bool { return g.askKey == by })
	if i < 0 {
		return grant{}, false
	}
	return b.grants[i], true
}

// roundingSlack lets a level that rounding has left just below a whole token
// count as that token. The level may become negative by as much.
const roundingSlack = 1e-9

// settle ends a grant. Unspent tokens go back into the bucket. It also credits
// the tokens that could not accrue since the grant's last use, because the spent
// ones still counted as outstanding.
func (b *bucket) settle(now model.Instant, s message.Settlement, limit Limit) {
	i := slices.IndexFunc(b.grants, func(g grant) bool { return g.id == s.Grant })
	if i < 0 {
		return
	}
	tokens := int(b.grants[i].tokens)
	spent := min(max(s.Spent, 0), tokens)
	b.removeGrant(i)
	b.level += float64(tokens-spent) + b.missedAccrual(now, s.Age, spent, limit)
	b.fullSince = notFull
	b.accrueTo(now, limit)
}

// missedAccrual returns the tokens that would have accrued if the owner had
// known at once that the spent ones were used. settle resets fullSince, so the
// same time is not credited twice, whatever else is settled.
func (b *bucket) missedAccrual(now model.Instant, age time.Duration, spent int, limit Limit) float64 {
	if b.fullSince == notFull || spent == 0 || age < 0 {
		return 0
	}
	since := max(b.fullSince, now.Add(-age))
	return min(float64(spent), accrued(limit.Rate, now.Sub(since)))
}

// timeToNextToken estimates how long it takes until a token can be granted.
func (b *bucket) timeToNextToken(limit Limit) time.Duration {
	if b.grantRoom(limit) <= 0 {
		return settleRetryHint
	}
	if b.level >= 1 {
		return 0
	}
	return accrualTime(limit.Rate, 1-b.level)
}

// settleRetryHint is what timeToNextToken returns where the next token depends
// on a settlement, whose time is not known.
const settleRetryHint = 20 * time.Millisecond
