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

func (d *demand) isSteady(now model.Instant) bool { return d.now(now) >= steadyRate }

// ahead returns the tokens to hold for steady demand, and below how many more
// are asked for. Both are zero for an account that is rarely active.
func (d *demand) ahead(now model.Instant) (target, low int) {
	rate := d.now(now)
	if rate < steadyRate {
		return 0, 0
	}
	return int(math.Ceil(rate * aheadFor.Seconds())), int(math.Ceil(rate * lowFor.Seconds()))
}
