package placement

import (
	"time"

	"pollensail.dev/decision/model"
)

// MarkCold makes a server count as cold from now on, for the slow start of its
// service. It does nothing for an unknown server. The caller rebuilds the pools.
func (r *Roster) MarkCold(now model.Instant, id model.ServerID) {
	if p, ok := r.entries[id]; ok {
		p.coldSince, p.coldFor = now, 0
	}
}

// applyColdFor applies the cold time of an entry of the host list. Only a changed one
// says something new, and it counts from now: lists are applied again and again.
func (p *rosterEntry) applyColdFor(now model.Instant, coldFor time.Duration) {
	if coldFor == p.listedCold {
		return
	}
	isListedCold := p.coldFor > 0 && p.coldSince != model.Never && now < p.coldSince.Add(p.coldFor)
	isCountdown := isListedCold && coldFor < p.listedCold
	p.listedCold = coldFor
	switch {
	case isCountdown && coldFor == 0:
		p.coldSince, p.coldFor = model.Never, 0
	case isCountdown:
		p.coldFor = now.Add(coldFor).Sub(p.coldSince)
	case coldFor > 0:
		p.coldSince, p.coldFor = now, coldFor
	}
}
