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
	// IsBounded says that all hosts together may repeat Share of the requests
	// and Saved times the number of hosts in any window. Without it retries
	// also accrue with time.
	IsBounded bool
	// Saved is what a host may save up.
	Saved float64
}

// budget limits retries to a share of the requests, so that retries cannot
// multiply the load of a pool that fails as a whole.
type budget struct {
	limits RetryLimits
	tokens float64
	at     model.Instant
}

// configure sets the limits. A bounded budget starts empty, because an earlier
// process of this host may have used up what it had saved.
func (b *budget) configure(limits RetryLimits) {
	if limits.IsBounded && !b.limits.IsBounded {
		b.tokens = 0
	}
	b.limits = limits
	b.tokens = min(b.tokens, b.most())
}

func (b *budget) most() float64 {
	if b.limits.IsBounded {
		return b.limits.Saved
	}
	return maxRetries
}

// request counts a first attempt.
func (b *budget) request() { b.tokens = min(b.tokens+b.limits.Share, b.most()) }

// take takes one retry if there is one.
func (b *budget) take(now model.Instant, rnd *rand.Rand) bool {
	b.refill(now)
	if b.limits.IsBounded && b.tokens < 1 {
		return b.takePart(rnd)
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// takePart takes a retry with the chance of the part that is there. In a large
// fleet a host cannot save a whole one, and by chance all hosts together still
// use what they have.
func (b *budget) takePart(rnd *rand.Rand) bool {
	if b.most() >= 1 || rnd.Float64() >= b.tokens {
		return false
	}
	b.tokens = 0
	return true
}

func (b *budget) refill(now model.Instant) {
	accrued := float64(now.Sub(b.at)) / float64(retryRefill)
	b.at = now
	if b.tokens < minRetries && !b.limits.IsBounded {
		b.tokens = min(b.tokens+accrued, minRetries)
	}
}

// CountRequest counts a first attempt for the retry budget.
func (p *Pool) CountRequest() { p.budget.request() }

// TakeRetry takes one retry from the budget. It reports false when the budget
// is spent.
func (p *Pool) TakeRetry(now model.Instant, rnd *rand.Rand) bool { return p.budget.take(now, rnd) }
