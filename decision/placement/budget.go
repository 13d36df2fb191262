package placement

import (
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// maxRetries bounds what a quiet time saves up.
	maxRetries = 20
	// retryRefill is the time in which one retry accrues whatever the load, so
	// that services with little traffic are retried too.
	retryRefill = time.Second
	// minRetries bounds what retryRefill accrues.
	minRetries = 3
)

// RetryLimits bound the repeated sends of a host to a service.
type RetryLimits struct {
	// Share is the part of requests that may be sent a second time.
	Share float64
	// Extra is how many more the host may send again in any Window, its part of
	// what the fleet may. 0: a few, which accrue with time.
	Extra  float64
	Window time.Duration
}

// Of Extra, savedShare may be saved up and refillShare accrues in a Window, so
// that both together stay below it, also where the host starts again.
const (
	savedShare  = 0.6
	refillShare = 0.35
)

// budget limits retries to a share of the requests, so that retries cannot
// multiply the load of a pool that fails as a whole.
type budget struct {
	limits RetryLimits
	tokens float64
	at     model.Instant
}

// configure sets the limits. A bounded budget starts empty, because an earlier
// process of this host may have used up what it had saved.
func (b *budget) configure(now model.Instant, limits RetryLimits) {
	if limits.Extra > 0 && b.limits.Extra <= 0 {
		b.tokens = 0
		b.at = now
	}
	b.limits = limits
	b.tokens = min(b.tokens, b.most())
}

func (b *budget) most() float64 {
	if b.limits.Extra > 0 {
		return savedShare * b.limits.Extra
	}
	return maxRetries
}

// request counts a first attempt.
func (b *budget) request() { b.tokens = min(b.tokens+b.limits.Share, b.most()) }

// take takes one retry if there is one. In a large fleet a host cannot save a
// whole one; it stakes the part that it has and wins a retry with the chance of
// that part, so that all hosts together use what they have and no more.
func (b *budget) take(now model.Instant, rnd *rand.Rand) bool {
	b.refill(now)
	switch {
	case b.tokens >= 1:
		b.tokens--
		return true
	case b.most() >= 1:
		return false
	}
	part := b.tokens
	b.tokens = 0
	return rnd.Float64() < part
}

func (b *budget) refill(now model.Instant) {
	age := now.Sub(b.at)
	b.at = now
	if b.limits.Extra > 0 {
		accrued := refillShare * b.limits.Extra * age.Seconds() / b.limits.Window.Seconds()
		b.tokens = min(b.tokens+accrued, b.most())
		return
	}
	if b.tokens < minRetries {
		b.tokens = min(b.tokens+age.Seconds()/retryRefill.Seconds(), minRetries)
	}
}

// CountRequest counts a first attempt for the retry budget.
func (p *Pool) CountRequest() { p.budget.request() }

// TakeRetry takes one retry from the budget. It reports false when the budget
// is spent.
func (p *Pool) TakeRetry(now model.Instant, rnd *rand.Rand) bool { return p.budget.take(now, rnd) }
