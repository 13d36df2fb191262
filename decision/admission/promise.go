package admission

import (
	"math"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// minShortage is how long a share must have been short, while the demand is about
	// the account's rate or more, before its owner promises tokens. Before that, whoever
	// asks first gets the next token: at the limit a shortage often ends by itself, and
	// promises would keep tokens of several shares for the same request.
	minShortage = time.Second
	// contendedDemand is the demand, in percent of the account's rate, from which a
	// shortage counts as lasting. The estimate varies by a few percent.
	contendedDemand = 95
	// promiseWindow is how far ahead of their accrual tokens are promised. It is
	// short, because a queue that does not end delays every request and serves
	// none more.
	promiseWindow = 50 * time.Millisecond
	// promiseGrace is how long after its time a promise is kept: the ask for it
	// takes up to a round trip between failure domains, and some jitter.
	promiseGrace = 30 * time.Millisecond
	// maxPromises bounds the promises of a bucket.
	maxPromises = 256
	// asksPerToken is the number of retry times given out for each token that accrues, to
	// hosts that get neither a token nor a promise. With one, each token that no
	// host comes for would be lost to the hosts that wait.
	asksPerToken = 2
	// maxNextAsk bounds the time after which such a host may ask again, and so
	// for how long hosts refuse requests after a surge has ended.
	maxNextAsk = 2 * time.Second
	// demandWindow is the time constant of an owner's estimate of an account's
	// demand, and maxArrivedTime bounds the time whose arrivals one ask reports.
	demandWindow   = 5 * time.Second
	maxArrivedTime = 2 * time.Second
)

// promise is a number of tokens that an owner keeps for a host from an instant
// on. They stay in the level of the bucket.
type promise struct {
	host   model.HostRef
	at     model.Instant
	tokens int
}

// contention holds what a bucket's owner knows of the hosts that compete for its
// tokens. The zero value is that of a bucket without competition.
type contention struct {
	promises    []promise   // in the order in which they were made
	entitlement entitlement // of the host that asks now
	// shortSince is when an ask was first not granted in full, if isShort. shortAt
	// is when that last was so.
	shortSince, shortAt model.Instant
	isShort             bool
	nextAskAt           model.Instant // given to the last host without a promise
	arrivals            average
}

// average is an exponentially weighted moving average of events a second.
type average struct {
	rate float64
	at   model.Instant
}

func (a *average) add(now model.Instant, n float64, constant time.Duration) {
	a.rate = a.rateAt(now, constant) + n/constant.Seconds()
	a.at = now
}

func (a *average) rateAt(now model.Instant, constant time.Duration) float64 {
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/constant.Seconds())
}

// dropLapsed removes the promises whose tokens were not asked for in time.
func (c *contention) dropLapsed(now model.Instant) {
	c.promises = slices.DeleteFunc(c.promises, func(p promise) bool { return p.at.Add(promiseGrace) < now })
}

// entitlement is what a host that asks may take of the level.
type entitlement struct {
	due    int // tokens that are promised to it and due
	before int // tokens promised to other hosts before those
	others int // all tokens promised to other hosts
}

// take removes the promises to a host that asks, and sets its entitlement.
func (c *contention) take(now model.Instant, host model.HostRef) {
	c.entitlement = entitlement{}
	kept := c.promises[:0]
	for _, p := range c.promises {
		if p.host == host {
			if p.at <= now {
				c.entitlement.due += p.tokens
				c.entitlement.before = c.entitlement.others
			}
			continue
		}
		c.entitlement.others += p.tokens
		kept = append(kept, p)
	}
	c.promises = kept
}

// available returns how many of the whole tokens of the level the host may take.
func (e entitlement) available(whole int) int {
	return max(min(e.due, whole-e.before), whole-e.others)
}

func (c *contention) promised() (n int) {
	for _, p := range c.promises {
		n += p.tokens
	}
	return n
}

// isContended reports whether the share has been short for minShortage, and
// the demand is contendedDemand or more.
func (c *contention) isContended(now model.Instant, limit Limit) bool {
	isStanding := c.isShort && now >= c.shortSince.Add(minShortage)
	return isStanding && c.demand(now, limit.Total) > contendedDemand
}

// markShort records that an ask was not granted in full.
func (c *contention) markShort(now model.Instant) {
	if !c.isShort || now >= c.shortAt.Add(minShortage) {
		c.isShort, c.shortSince = true, now
	}
	c.shortAt = now
}

// clearShort records that every ask so far has been granted and that a quarter of
// the burst is left.
func (b *bucket) clearShort(limit Limit) {
	if len(b.contention.promises) == 0 && b.level >= max(1, float64(limit.Burst)/4) {
		b.contention.isShort = false
	}
}

// answerShort completes the answer to an ask of which missing needed tokens
// could not be granted: it promises tokens, or says when to ask again.
func (b *bucket) answerShort(now model.Instant, host model.HostRef, missing int, limit Limit, answer *message.TokenGrant) {
	q := &b.contention
	if b.level >= 1 && b.grantRoom(limit) <= 0 {
		answer.NextToken = settleRetryHint // depends on settlements only
		return
	}
	q.markShort(now)
	if !q.isContended(now, limit) {
		answer.NextToken = b.timeToNextToken(limit)
		return
	}
	promised := q.promised()
	affordable := int(b.level+accrued(limit.Rate, promiseWindow)+roundingSlack) - promised
	n := min(missing, affordable)
	if n <= 0 || len(q.promises) >= maxPromises {
		answer.NextToken, answer.Promised = b.nextAsk(now, promised, limit), message.NonePromised
		return
	}
	wait := b.timeToLevel(promised+n, limit)
	q.promises = append(q.promises, promise{host, now.Add(wait), n})
	answer.NextToken, answer.Promised = max(wait, minEmptyBackoff), n
}

// timeToLevel returns how long it takes until the level has a number of tokens.
func (b *bucket) timeToLevel(tokens int, limit Limit) time.Duration {
	return accrualTime(limit.Rate, max(0, float64(tokens)-b.level))
}

// nextAsk gives out the time after which the next host without a promise may
// ask. It is at least the time to the first token that is not promised.
func (b *bucket) nextAsk(now model.Instant, promised int, limit Limit) time.Duration {
	interval := min(accrualTime(limit.Rate, 1.0/asksPerToken), maxNextAsk)
	next := max(b.contention.nextAskAt, now).Add(interval)
	b.contention.nextAskAt = min(next, now.Add(maxNextAsk))
	return min(max(b.contention.nextAskAt.Sub(now), b.timeToLevel(promised+1, limit), settleRetryHint), maxNextAsk)
}

// hintAfterGrant completes the answer to an ask that was granted in full: it
// says when the share has a token for a further request. A share that has been
// short for long promises none for it, because most of those who wait would be
// refused.
func (b *bucket) hintAfterGrant(now model.Instant, limit Limit, answer *message.TokenGrant) {
	b.clearShort(limit)
	promised := b.contention.promised()
	answer.NextToken = b.timeToNextToken(limit)
	if promised > 0 {
		answer.NextToken = b.timeToLevel(promised+1, limit)
	}
	if b.contention.isContended(now, limit) && answer.NextToken > 0 {
		answer.Promised = message.NonePromised
	}
}

// recordArrivals counts requests of the account that arrived at a host.
func (c *contention) recordArrivals(now model.Instant, n int) {
	c.arrivals.add(now, float64(max(0, n)), demandWindow)
}

// maxDemand bounds the demand in an answer, in percent.
const maxDemand = 1_000_000

// demand returns the account's demand in percent of its whole rate.
func (c *contention) demand(now model.Instant, rate float64) int {
	if rate <= 0 {
		return 0
	}
	return int(min(maxDemand, c.arrivals.rateAt(now, demandWindow)/rate*100))
}
