package placement

import (
	"cmp"
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/model"
)

// A cold server tolerates a known request rate. The hosts together keep to it in
// every window of a second, each by a share that it computes from the host list
// (HostSets). docs/design/cold-servers.md has the reasons.
const (
	// coldSendDelay is the longest time from the choice of a cold server until the
	// request is written; a later one is not sent. Ten times a round trip between
	// failure domains, so that a new connection and a busy host fit in.
	coldSendDelay = 250 * time.Millisecond
	// coldWindow is the shortest time between two uses of one share. The requests
	// are then written at least a second apart.
	coldWindow = time.Second + coldSendDelay
	// coldReserveDivisor: one request in four of the budget is kept for hosts whose lists
	// are old, the others are given out as shares.
	coldReserveDivisor = 4
	// maxColdInterval is the longest time between two uses of a share. No slow start
	// is longer.
	maxColdInterval = 24 * time.Hour
)

// MinSettle is the shortest time for HostSets: the requests that the earlier process
// of a host sent no longer count after it.
const MinSettle = coldWindow

// ColdLimit bounds the requests of all hosts to one cold server in any second, by
// Rate × Overshoot + Slack. The zero value means no limit.
type ColdLimit struct {
	Rate      float64 // requests per second; 0: no limit
	Overshoot float64
	Slack     int
}

// shares returns how many requests a coldWindow are given out to the hosts.
func (l ColdLimit) shares() int {
	whole := int(l.Rate*l.Overshoot + float64(l.Slack))
	if whole <= 1 {
		return whole
	}
	return whole - (whole+coldReserveDivisor-1)/coldReserveDivisor
}

// interval returns the time between two uses of one share: a coldWindow, or longer so
// that all shares together stay within Rate × Overshoot on average. The slack
// allows requests to coincide; used all the time it would be a higher rate.
func (l ColdLimit) interval() time.Duration {
	seconds := min(float64(l.shares())/(l.Rate*l.Overshoot), maxColdInterval.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), coldWindow)
}

// coldUse is a pool's use of cold servers.
type coldUse struct {
	limit     ColdLimit
	shares    int
	interval  time.Duration
	allCold   bool // all usable servers were cold at the last request
	returning returningRequests
}

func (c *coldUse) configure(limit ColdLimit) {
	if c.limit == limit {
		return
	}
	*c = coldUse{limit: limit}
	if limit.Rate > 0 {
		c.shares, c.interval = limit.shares(), limit.interval()
	}
}

// spacing returns the time between two requests of a host with a quota, rounded up.
func (c *coldUse) spacing(quota int) time.Duration {
	n := time.Duration(quota)
	return (c.interval + n - 1) / n
}

// mayPlaceIfCold reports whether this host may send the server another request now,
// as far as it is cold. Each choice of a server passes here (Pool.mayPlace).
func (p *Pool) mayPlaceIfCold(now model.Instant, s *server) bool {
	return !p.isColdLimited(now, s) || now >= p.nextColdSend(now, s)
}

// LimitsCold reports whether the requests to cold servers are limited.
func (p *Pool) LimitsCold() bool { return p.cold.limit.Rate > 0 }

// isColdLimited reports whether the requests to the server are limited because it
// is cold.
func (p *Pool) isColdLimited(now model.Instant, s *server) bool {
	return p.LimitsCold() && s.isCold(now, p.limits.ColdRamp)
}

// isCold reports whether the server is in its slow start.
func (s *server) isCold(now model.Instant, ramp time.Duration) bool {
	return s.ColdSince != model.Never && now < s.coldEnd(ramp)
}

// coldEnd returns when the slow start of a server that is or was cold ends.
func (s *server) coldEnd(ramp time.Duration) model.Instant {
	return s.ColdSince.Add(cmp.Or(s.ColdFor, ramp))
}

// quota returns how many requests this host may send a cold server in an interval.
func (p *Pool) quota(now model.Instant, s *server) int {
	sets := p.limits.HostSets
	if sets == nil {
		return p.cold.shares
	}
	if s.coldShare == nil || s.coldShare.generation != sets.generation || now >= s.coldShare.until {
		share := sets.share(now, s.ID, p.cold.shares)
		s.coldShare = &share
	}
	return s.coldShare.quota
}

// nextColdSend returns when this host may send a cold server its next request, or
// when that may be known.
func (p *Pool) nextColdSend(now model.Instant, s *server) model.Instant {
	quota := p.quota(now, s)
	switch {
	case quota == 0 && p.limits.HostSets == nil:
		return s.coldEnd(p.limits.ColdRamp)
	case quota == 0:
		return min(s.coldShare.until, s.coldEnd(p.limits.ColdRamp))
	case s.placedAt == 0:
		return 0
	case s.placedAt < s.ColdSince:
		// Any number of requests may have been sent while it was warm.
		return s.placedAt.Add(coldWindow)
	default:
		return s.placedAt.Add(p.cold.spacing(quota))
	}
}

// remembersPlacement reports whether a request that this host has sent the server
// still counts against its share, should the server be cold.
func (p *Pool) remembersPlacement(now model.Instant, s *server) bool {
	return p.LimitsCold() && s.placedAt != 0 && now < s.placedAt.Add(p.cold.interval)
}

// SendBy returns the latest time to write a request to a server that was chosen
// now, model.Never for a server without a limit.
func (p *Pool) SendBy(now model.Instant, id model.ServerID) model.Instant {
	if !p.LimitsCold() {
		return model.Never
	}
	if s, ok := p.byID[id]; ok && p.isColdLimited(now, s) {
		return now.Add(coldSendDelay)
	}
	return model.Never
}

// ColdUse describes this host's use of a service whose usable servers are all
// cold.
type ColdUse struct {
	Servers int           // cold, and not paused
	Rate    float64       // requests a second that this host may send them
	NextAt  model.Instant // when it may send the next request, or has a new share
	WarmAt  model.Instant // when the first server is expected to be without a limit
}

// AllCold returns this host's use of the servers in the regions, false if one of them
// is warm.
func (p *Pool) AllCold(now model.Instant, regions []model.RegionID) (ColdUse, bool) {
	if !p.LimitsCold() {
		return ColdUse{}, false
	}
	u := ColdUse{NextAt: model.Never, WarmAt: model.Never}
	for _, s := range p.subset {
		switch {
		case !s.allows(regions):
		case s.isPaused(now):
			u.WarmAt = min(u.WarmAt, s.pausedUntil)
		case !p.isColdLimited(now, s):
			return ColdUse{}, false
		default:
			u.Servers++
			u.Rate += float64(p.quota(now, s)) / p.cold.interval.Seconds()
			u.NextAt = min(u.NextAt, p.nextColdSend(now, s))
			u.WarmAt = min(u.WarmAt, s.coldEnd(p.limits.ColdRamp))
		}
	}
	return u, u.Servers > 0
}

// WasAllCold reports whether all usable servers were cold at the last call of
// RefuseCold for an unrestricted request.
func (p *Pool) WasAllCold() bool { return p.cold.allCold }

// RefuseCold returns the time after which a request should come back that has to be
// refused because all usable servers are cold and this host's shares are used, 0
// for one that need not be refused for that. Of a restricted request, only the servers
// in its regions count. Smaller priorities are more urgent.
func (p *Pool) RefuseCold(now model.Instant, rnd *rand.Rand, priority int, regions []model.RegionID) time.Duration {
	use, ok := p.AllCold(now, regions)
	returning := &p.cold.returning
	if regions == nil {
		p.cold.allCold = ok
		if !ok {
			returning.clear()
		}
	}
	if !ok {
		return 0
	}
	returning.advance(now, use.Rate)
	if now >= use.NextAt && !returning.isReserved(now, use.NextAt, priority) {
		return 0
	}
	return returning.add(now, rnd, priority, use, p.limits.ColdRamp)
}

// ColdShare returns the time between two requests of this host to a cold server, 0 if
// it may send none. ok is false if no limit applies.
func (p *Pool) ColdShare(now model.Instant, id model.ServerID) (interval time.Duration, ok bool) {
	s, known := p.byID[id]
	if !known || !p.isColdLimited(now, s) {
		return 0, false
	}
	quota := p.quota(now, s)
	if quota == 0 {
		return 0, true
	}
	return p.cold.spacing(quota), true
}
