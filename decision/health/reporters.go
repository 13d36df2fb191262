package health

import (
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// rateMemory is the time over which a host's rate is averaged.
	rateMemory = 5 * time.Second
	// reporterLife is how long a host's rate counts after its last report. It
	// is over twice the longest interval between reports.
	reporterLife = 3 * time.Minute
	// learning is how long a coordinator takes it that hosts which have not
	// reported have the mean rate of those which have: from its start in a first
	// term, else from the end of its quiet time, because hosts that reported to
	// the coordinator before take longer.
	learning = 3 * time.Second
)

// reporters are the hosts that use a service, with their rates.
type reporters map[model.HostID]*reporter

type reporter struct {
	incarnation uint64
	sequence    uint64
	domain      int
	rate        float64 // attempts a second
	known       time.Duration
	at          model.Instant
}

// take counts a report and returns false for one that was repeated or
// overtaken.
func (rs reporters) take(now model.Instant, from model.HostRef, domain int, e message.Evidence) bool {
	r, ok := rs[from.ID]
	if !ok || r.incarnation != from.Incarnation {
		r = &reporter{incarnation: from.Incarnation}
		rs[from.ID] = r
	}
	if e.Sequence <= r.sequence {
		return false
	}
	r.sequence = e.Sequence
	r.domain = domain
	r.at = now
	r.average(e.PoolOK+e.PoolFailed, max(e.Period, ReportInterval))
	return true
}

func (r *reporter) average(attempts int, period time.Duration) {
	r.known = min(r.known, rateMemory)
	total := (r.known + period).Seconds()
	r.rate = (r.rate*r.known.Seconds() + float64(attempts)) / total
	r.known += period
}

// rates returns the attempts a second in each of n domains, and drops hosts
// that have not reported for long.
func (rs reporters) rates(now model.Instant, n int) []float64 {
	// Whole numbers add up to the same sum in any order of the map.
	sums := make([]int64, n)
	for id, r := range rs {
		if now > r.at.Add(reporterLife) {
			delete(rs, id)
			continue
		}
		sums[r.domain] += int64(r.rate * rateUnit)
	}
	rates := make([]float64, n)
	for i, sum := range sums {
		rates[i] = float64(sum) / rateUnit
	}
	return rates
}

// rateUnit is the resolution of summed rates, in parts of an attempt a second.
const rateUnit = 1e6
