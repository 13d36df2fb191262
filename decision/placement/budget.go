package placement

import (
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// maxRetryTokens caps the tokens that an unbounded budget saves up.
	maxRetryTokens = 20
	// retryAccrualInterval is the time in which one token accrues whatever the
	// load, so that services with little traffic are retried too.
	retryAccrualInterval = time.Second
	// baselineRetryTokens is the level up to which tokens accrue with time, and
	// the initial level.
	baselineRetryTokens = 3
)

// RetryLimits bounds how often a host sends requests to a service again.
type RetryLimits struct {
	// Share is the part of requests that may be sent a second time.
	Share float64
	// Extra is how many more retries the host may send in any Window: its part
	// of the bound for the fleet. 0: an unbounded budget, in which a few
	// retries accrue with time.
	Extra  float64
	Window time.Duration
}

// Of Extra, burstFraction may be saved up and refillFraction accrues in a
// Window. Their sum is below 1, so that the host stays below Extra even when it
// restarts within a Window.
const (
	burstFraction  = 0.6
	refillFraction = 0.35
)

// retryBudget is a token bucket that limits retries to a share of the requests,
// so that retries cannot multiply the load of a pool that fails as a whole.
type retryBudget struct {
	limits     RetryLimits
	tokens     float64
	refilledAt model.Instant
}

// configure sets the limits. A bounded budget starts empty, because an earlier
// process of this host may have spent its tokens.
func (b *retryBudget) configure(now model.Instant, limits RetryLimits) {
	if limits.Extra > 0 && b.limits.Extra <= 0 {
		b.tokens = 0
		b.refilledAt = now
	}
	b.limits = limits
	b.tokens = min(b.tokens, b.capacity())
}

func (b *retryBudget) capacity() float64 {
	if b.limits.Extra > 0 {
		return burstFraction * b.limits.Extra
	}
	return maxRetryTokens
}

// deposit credits a first attempt.
func (b *retryBudget) deposit() { b.tokens = min(b.tokens+b.limits.Share, b.capacity()) }

// tryWithdraw reports whether a retry is granted. In a large fleet the capacity
// of one host may be below one token. The host then spends the fraction that it
// has and is granted a retry with that probability, so that the retries of all
// hosts add up to the accrued tokens on average.
func (b *retryBudget) tryWithdraw(now model.Instant, rnd *rand.Rand) bool {
	b.refill(now)
	switch {
	case b.tokens >= 1:
		b.tokens--
		return true
	case b.capacity() >= 1:
		return false
	}
	fraction := b.tokens
	b.tokens = 0
	return rnd.Float64() < fraction
}

func (b *retryBudget) refill(now model.Instant) {
	elapsed := now.Sub(b.refilledAt)
	b.refilledAt = now
	if b.limits.Extra > 0 {
		accrued := refillFraction * b.limits.Extra * elapsed.Seconds() / b.limits.Window.Seconds()
		b.tokens = min(b.tokens+accrued, b.capacity())
		return
	}
	if b.tokens < baselineRetryTokens {
		b.tokens = min(b.tokens+elapsed.Seconds()/retryAccrualInterval.Seconds(), baselineRetryTokens)
	}
}

// CountRequest credits the retry budget with a first attempt.
func (p *Pool) CountRequest() { p.retryBudget.deposit() }

// TakeRetry withdraws one retry from the budget. It reports false when the
// budget is exhausted.
func (p *Pool) TakeRetry(now model.Instant, rnd *rand.Rand) bool {
	return p.retryBudget.tryWithdraw(now, rnd)
}
