package health

import (
	"math"
	"slices"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// PoolView is a service's servers as one host sees them.
type PoolView struct {
	Members []model.ServerID // distinct, including leaving ones
	// IsImpaired reports whether a member is leaving, draining or cold.
	IsImpaired func(model.ServerID) bool
	Floor      float64 // least share of the members that stays in use, 0 to 1
	Hosts      int     // entry hosts that may send requests
	Domains    int     // number of failure domains of the fleet
}

// ceilTolerance keeps rounding errors from raising the number of servers that
// stay in use: a floor of 0.7 of 10 servers is 7, not 8.
const ceilTolerance = 1e-9

// maxOut returns how many members may be impaired, ejected or in trial
// altogether. At least one stays in use whatever the floor is.
func (p PoolView) maxOut() int {
	n := len(p.Members)
	return n - max(int(math.Ceil(p.Floor*float64(n)-ceilTolerance)), 1)
}

// countOut returns how many members are impaired or match.
func (p PoolView) countOut(matches func(model.ServerID) bool) int {
	n := 0
	for _, id := range p.Members {
		if p.IsImpaired(id) || matches(id) {
			n++
		}
	}
	return n
}

// CapAtFloor returns the part of a published set that a host may apply without
// going below the floor as that host sees it. It drops the servers in trial
// first, then the least bad of the ejected.
func (p PoolView) CapAtFloor(set message.EjectionSet) (ejected, trial []model.ServerID) {
	isIn := func(id model.ServerID) bool {
		return slices.Contains(set.Ejected, id) || slices.Contains(set.Trial, id)
	}
	ejected, trial = set.Ejected, set.Trial
	excess := p.countOut(isIn) - p.maxOut()
	trial, excess = p.trim(trial, excess)
	ejected, _ = p.trim(ejected, excess)
	return ejected, trial
}

// trim drops servers from the end until the excess is gone. It keeps those that
// do not count toward the excess.
func (p PoolView) trim(ids []model.ServerID, excess int) ([]model.ServerID, int) {
	if excess <= 0 {
		return ids, excess
	}
	kept := slices.Clone(ids)
	for i := len(kept) - 1; i >= 0 && excess > 0; i-- {
		if slices.Contains(p.Members, kept[i]) && !p.IsImpaired(kept[i]) {
			kept = slices.Delete(kept, i, i+1)
			excess--
		}
	}
	return kept, excess
}
