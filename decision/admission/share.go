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

// Share returns the part of an account's limit that the slot in one of several
// failure domains gets. The rate is split evenly and the burst into whole
// tokens, the remainder one each to the domains from a start that depends on
// the account. A burst smaller than the number of domains gives one token and
// an even part of the rate to as many domains, and nothing to the others. So
// shares always sum to the limit, and no share falls when the burst rises,
// which keeps the bound while owners still differ in their configuration. (A
// change of a burst below the number of domains moves rate between domains;
// until it is in force everywhere the rates may sum to old plus new.)
func Share(account model.AccountID, limit Limit, domain, domains int) Limit {
	if limit.Burst <= 0 || domains <= 0 {
		return Limit{}
	}
	place := (domain + int(hashOf(account)%uint64(domains))) % domains
	burst := limit.Burst / domains
	if place < limit.Burst%domains {
		burst++
	}
	if burst == 0 {
		return Limit{}
	}
	return Limit{Rate: limit.Rate / float64(min(limit.Burst, domains)), Burst: burst}
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
// settled. It is also what a new owner assumes to be outstanding.
func maxOutstanding(burst int) int {
	if burst <= 0 {
		return 0
	}
	return max(1, burst/2)
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
