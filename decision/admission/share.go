package admission

import (
	"hash/fnv"
	"time"

	"pollensail.dev/decision/model"
)

// Limit is an account's rate and burst, or a slot's share of them.
type Limit struct {
	Rate  float64 // tokens a second
	Burst int     // tokens
}

// minShare is the least tokens of a share, unless the whole burst is less. A
// share that is full accrues nothing while another one is short, so many small
// shares would refuse requests within rate that one bucket admits.
const minShare = 4

// Share returns the part of an account's limit that the slot in one of several
// failure domains gets. There are as many shares as domains, or fewer where a
// share would have less than minShare tokens; a burst below 2 × minShare stays
// whole. The rate is split evenly and the burst into whole tokens, the
// remainder one each, over the domains from a start that depends on the
// account. So shares always sum to the limit. While owners still differ in
// their configuration, the sum is at most the higher limit as long as the
// number of shares stays the same, else at most the sum of both.
func Share(account model.AccountID, limit Limit, domain, domains int) Limit {
	if limit.Burst <= 0 || domains <= 0 {
		return Limit{}
	}
	shares := min(domains, max(1, limit.Burst/minShare))
	place := (domain + int(hashOf(account)%uint64(domains))) % domains
	if place >= shares {
		return Limit{}
	}
	burst := limit.Burst / shares
	if place < limit.Burst%shares {
		burst++
	}
	return Limit{Rate: limit.Rate / float64(shares), Burst: burst}
}

// SlotIndex returns the index, in each failure domain, of the slot that holds
// the account's share.
func SlotIndex(account model.AccountID, slotsPerDomain int) int {
	return int(hashOf(account) >> 32 % uint64(slotsPerDomain))
}

func hashOf(account model.AccountID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(account))
	return h.Sum64()
}

// maxOutstanding bounds the tokens of a share that are granted and not
// settled.
func maxOutstanding(burst int) int {
	if burst <= 0 {
		return 0
	}
	return max(1, burst/2)
}

// maxEarlyOutstanding is maxOutstanding for an owner that assumes grants of the
// one before.
func maxEarlyOutstanding(burst int) int {
	if burst <= 0 {
		return 0
	}
	return max(1, burst/4)
}

// assumedOutstanding is what a new owner assumes to be granted by the one
// before, which may itself have followed a loss just before.
func assumedOutstanding(burst int) int {
	return min(burst, maxOutstanding(burst)+maxEarlyOutstanding(burst))
}

// accrued returns the tokens that a rate yields in a time.
func accrued(rate float64, d time.Duration) float64 { return rate * d.Seconds() }

// timeFor returns how long a rate takes to yield tokens.
func timeFor(rate, tokens float64) time.Duration {
	if rate <= 0 {
		return maxNext
	}
	seconds := tokens / rate
	if seconds >= maxNext.Seconds() {
		return maxNext
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxNext bounds the time until the next token that an answer names.
const maxNext = time.Hour
