package placement

import (
	"time"

	"pollensail.dev/decision/model"
)

const (
	// retryShare is the part of requests that may be sent a second time.
	retryShare = 0.1
	// maxRetries bounds what a quiet time saves up.
	maxRetries = 20
	// retryRefill is the time in which one retry accrues whatever the load, so
	// that services with little traffic are retried too.
	retryRefill = time.Second
	// minRetries bounds what retryRefill accrues.
	minRetries = 3
)

// budget limits retries to a share of the requests, so that retries cannot
// multiply the load of a pool that fails as a whole.
type budget struct {
	tokens float64
	at     model.Instant
}

func newBudget() budget { return budget{tokens: minRetries} }

// request counts a first attempt.
func (b *budget) request() { b.tokens = min(b.tokens+retryShare, maxRetries) }

// take takes one retry if there is one.
func (b *budget) take(now model.Instant) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *budget) refill(now model.Instant) {
	accrued := float64(now.Sub(b.at)) / float64(retryRefill)
	b.at = now
	if b.tokens < minRetries {
		b.tokens = min(b.tokens+accrued, minRetries)
	}
}

// CountRequest counts a first attempt for the retry budget.
func (p *Pool) CountRequest() { p.budget.request() }

// TakeRetry takes one retry from the budget. It reports false when the budget
// is spent.
func (p *Pool) TakeRetry(now model.Instant) bool { return p.budget.take(now) }
