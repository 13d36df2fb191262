package admission

import (
	"hash/fnv"
	"time"

	"pollensail.dev/decision/model"
)

// Limit is the rate and burst of an account's token bucket, or a slot's share
// of them.
type Limit struct {
	Rate  float64 // tokens a second
	Burst int     // tokens
	// Total is the rate of the whole account where Rate is a share's; 0: unknown.
	Total float64
}

// minShare is the smallest burst of a share, in tokens, unless the whole burst
// is less. A share that is full accrues nothing while another one is short, so
// many small shares would refuse requests within the rate that one bucket
// admits.
const minShare = 4

// Share returns the part of an account's limit that belongs to its slot in one
// failure domain. domain is the index of that failure domain and domains their
// number. There are as many shares as domains, or fewer where a share would
// have less than minShare tokens; a burst below 2 × minShare is not split.
//
// The rate is split evenly. The burst is split into whole tokens, and the
// remainder is spread one token each over the domains, starting at a position
// that depends on the account. So shares always sum to the limit. While owners
// still differ in their configuration, the sum is at most the higher limit as
// long as the number of shares stays the same, else at most the sum of both.
func Share(account model.AccountID, limit Limit, domain, domains int) Limit {
	if limit.Burst <= 0 || domains <= 0 {
		return Limit{}
	}
	shares := min(domains, max(1, limit.Burst/minShare))
	position := (domain + int(hashAccount(account)%uint64(domains))) % domains
	if position >= shares {
		return Limit{}
	}
	burst := limit.Burst / shares
	if position < limit.Burst%shares {
		burst++
	}
	return Limit{Rate: limit.Rate / float64(shares), Burst: burst, Total: limit.Rate}
}

// SlotIndex returns the index of the account's slot, which is the same in each
// failure domain.
func SlotIndex(account model.AccountID, slotsPerDomain int) int {
	return int(hashAccount(account) >> 32 % uint64(slotsPerDomain))
}

func hashAccount(account model.AccountID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(account))
	return h.Sum64()
}

// maxOutstanding bounds the tokens of a share that are granted and not yet
// settled.
func maxOutstanding(burst int) int {
	if burst <= 0 {
		return 0
	}
	return max(1, burst/2)
}

// maxOutstandingAfterLoss replaces maxOutstanding at a new owner while grants
// of the lost owner are assumed.
func maxOutstandingAfterLoss(burst int) int {
	if burst <= 0 {
		return 0
	}
	return max(1, burst/4)
}

// assumedOutstanding is how many tokens a new owner assumes that the lost owner
// had granted. The lost owner may itself have followed another lost owner just
// before.
func assumedOutstanding(burst int) int {
	return min(burst, maxOutstanding(burst)+maxOutstandingAfterLoss(burst))
}

// accrued returns the tokens that accrue at a rate over a time.
func accrued(rate float64, d time.Duration) float64 { return rate * d.Seconds() }

// accrualTime returns how long it takes for tokens to accrue at a rate, at most
// maxAccrualTime.
func accrualTime(rate, tokens float64) time.Duration {
	if rate <= 0 {
		return maxAccrualTime
	}
	seconds := tokens / rate
	if seconds >= maxAccrualTime.Seconds() {
		return maxAccrualTime
	}
	return time.Duration(seconds * float64(time.Second))
}

// maxAccrualTime bounds accrualTime where the rate is zero or very small, and
// with it the time until the next token that an answer names.
const maxAccrualTime = time.Hour
