package admission

import (
	"math"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// demandTimeConstant is the time constant of the moving average.
	demandTimeConstant = time.Second
	// prefetchHorizon is how long prefetched tokens last at the present demand.
	prefetchHorizon = 500 * time.Millisecond
	// refillHorizon is how long the remaining tokens must last at the present
	// demand; otherwise more are asked for. It is several round trips between
	// failure domains.
	refillHorizon = 100 * time.Millisecond
	// prefetchMinRate is the least demand for which tokens are prefetched, in
	// requests a second.
	prefetchMinRate = 4
	// prefetchHosts is how many hosts can prefetch before they hold all of an
	// account's burst.
	prefetchHosts = 16
)

// demand is an exponentially weighted moving average of an account's requests a
// second at this host, decayed at the time of reading.
type demand struct {
	rate float64 // requests a second, at the instant at
	at   model.Instant
}

func (d *demand) add(now model.Instant) {
	d.rate = d.rateAt(now) + 1/demandTimeConstant.Seconds()
	d.at = now
}

func (d *demand) rateAt(now model.Instant) float64 {
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/demandTimeConstant.Seconds())
}

// prefetchTargets returns how many tokens to hold for steady demand (target),
// and the number below which more are asked for (low). Both are zero for an
// account that is rarely active or whose burst is too small to be divided among
// many hosts.
func (a *accountState) prefetchTargets(now model.Instant) (target, low int) {
	rate := a.demand.rateAt(now)
	maxTarget := a.burst / prefetchHosts
	if rate < prefetchMinRate || maxTarget < 2 {
		return 0, 0
	}
	target = min(maxTarget, int(math.Ceil(rate*prefetchHorizon.Seconds())))
	low = min(target, int(math.Ceil(rate*refillHorizon.Seconds())))
	return target, low
}
