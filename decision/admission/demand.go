package admission

import (
	"math"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// demandTime is the time constant of the average.
	demandTime = time.Second
	// aheadFor is the time for which tokens are asked ahead.
	aheadFor = 500 * time.Millisecond
	// lowFor is the time for which tokens must be left, else more are asked
	// for: several round trips between failure domains.
	lowFor = 100 * time.Millisecond
	// steadyRate is the requests a second from which tokens are asked ahead.
	steadyRate = 4
	// holders is how many hosts can hold tokens ahead before they take all of
	// an account's burst.
	holders = 16
)

// demand is an exponential average of an account's requests a second at this
// host.
type demand struct {
	rate float64
	at   model.Instant
}

func (d *demand) add(now model.Instant) {
	d.rate = d.now(now) + 1/demandTime.Seconds()
	d.at = now
}

func (d *demand) now(now model.Instant) float64 {
	return d.rate * math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds())
}

// ahead returns the tokens to hold for steady demand, and below how many more
// are asked for. Both are zero for an account that is rarely active or whose
// burst is too small to be held by many hosts.
func (a *holding) ahead(now model.Instant) (target, low int) {
	rate := a.demand.now(now)
	most := a.burst / holders
	if rate < steadyRate || most < 2 {
		return 0, 0
	}
	target = min(most, int(math.Ceil(rate*aheadFor.Seconds())))
	low = min(target, int(math.Ceil(rate*lowFor.Seconds())))
	return target, low
}
