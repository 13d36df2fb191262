package health

import (
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// rateAveragingTime is the time over which a host's rate is averaged.
	rateAveragingTime = 5 * time.Second
	// reporterLifetime is how long a host's rate counts after its last report.
	// It is more than twice the longest interval between reports.
	reporterLifetime = 3 * time.Minute
	// learningPeriod is how long a coordinator assumes that hosts which have
	// not reported have the mean rate of those which have. It begins at the
	// coordinator's start in a first term, else at the end of its quiet period,
	// because hosts that reported to the coordinator before take longer to
	// report to the new one.
	learningPeriod = 3 * time.Second
)

// reporters holds the hosts that use a service, with their rates.
type reporters map[model.HostID]*reporter

type reporter struct {
	incarnation  uint64
	sequence     uint64
	domain       int
	rate         float64       // attempts a second
	averagedTime time.Duration // time that rate covers
	lastReport   model.Instant
}

// accept records a host's report and its rate. It returns false for a duplicate
// or reordered report.
func (rs reporters) accept(now model.Instant, from model.HostRef, domain int, e message.Evidence) bool {
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
	r.lastReport = now
	r.updateRate(e.PoolOK+e.PoolFailed, max(e.Period, ReportInterval))
	return true
}

func (r *reporter) updateRate(attempts int, period time.Duration) {
	r.averagedTime = min(r.averagedTime, rateAveragingTime)
	total := (r.averagedTime + period).Seconds()
	r.rate = (r.rate*r.averagedTime.Seconds() + float64(attempts)) / total
	r.averagedTime += period
}

// rates returns the attempts a second from each of n domains. It drops hosts
// that have not reported for reporterLifetime.
func (rs reporters) rates(now model.Instant, n int) []float64 {
	// Integers, unlike floats, add up to the same sum in any iteration order.
	sums := make([]int64, n)
	for id, r := range rs {
		if now > r.lastReport.Add(reporterLifetime) {
			delete(rs, id)
			continue
		}
		sums[r.domain] += int64(r.rate * rateScale)
	}
	rates := make([]float64, n)
	for i, sum := range sums {
		rates[i] = float64(sum) / rateScale
	}
	return rates
}

// rateScale is the resolution of the summed rates: fixed-point units for one
// attempt a second.
const rateScale = 1e6
