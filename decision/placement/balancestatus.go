package placement

import (
	"cmp"
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

// BalanceStatus is the load of a service's servers as this host estimates it.
type BalanceStatus struct {
	// MeanLoad and MaxLoad are the expected requests per slot over the servers, and
	// Busiest the server with the most.
	MeanLoad, MaxLoad float64
	Busiest           model.ServerID
	// MaxSlowness is the greatest response time of a server in relation to the mean,
	// and Slowest that server.
	MaxSlowness float64
	Slowest     model.ServerID
	// ReportAge is the median age of the servers' last reports to this host, 0 without
	// any.
	ReportAge time.Duration
	// Choices counts the choices of a server, and OutsideChoices those of a server
	// of another failure domain.
	Choices, OutsideChoices int
	InvalidReports          int
}

// BalanceStatus returns the load of the servers, false if it is not estimated.
func (p *Pool) BalanceStatus(now model.Instant) (BalanceStatus, bool) {
	if !p.limits.EstimatesLoad {
		return BalanceStatus{}, false
	}
	b := BalanceStatus{Choices: p.choices, OutsideChoices: p.outsideChoices, InvalidReports: p.invalidReports}
	var ages []time.Duration
	for _, s := range p.subset {
		load := p.load(now, s)
		b.MeanLoad += load / float64(len(p.subset))
		if load >= b.MaxLoad {
			b.MaxLoad, b.Busiest = load, s.ID
		}
		if slowness := s.estimate.relativeTime(); slowness > b.MaxSlowness {
			b.MaxSlowness, b.Slowest = slowness, s.ID
		}
		if s.estimate.isKnown {
			ages = append(ages, now.Sub(s.estimate.at))
		}
	}
	slices.SortFunc(ages, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	if len(ages) > 0 {
		b.ReportAge = ages[len(ages)/2]
	}
	return b, true
}
