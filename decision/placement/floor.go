package placement

import (
	"math"
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// floorReserve divides the servers that the floor allows to be unused: one part
	// of them may be, the others make up for sound servers that are taken for
	// failing ones, and for those in use that get few requests.
	floorReserve = 4
	// floorUpdateInterval bounds how often the servers are ranked for the floor.
	floorUpdateInterval = 100 * time.Millisecond
	// recentSignalAge is how long a suspected server counts as in use after a
	// signal about it.
	recentSignalAge = 2 * time.Second
)

// floorRank keeps Limits.Floor of the servers in use while the service is short
// of servers, however many are suspected. Hosts get the same signals, so without
// it all of them leave the same servers unused.
type floorRank struct {
	// maxLogOdds is the highest log odds of failing among the suspected servers
	// that the floor brings into use, the least suspected ones that were not in
	// use recently.
	maxLogOdds float64
	updatedAt  model.Instant
	isRanked   bool
	unused     []float64 // log odds of the servers not in use, scratch space
}

// update ranks the servers if the last ranking is too old.
func (f *floorRank) update(now model.Instant, servers []*server, floor float64) {
	if f.isRanked && now.Sub(f.updatedAt) < floorUpdateInterval {
		return
	}
	f.isRanked, f.updatedAt = true, now
	f.unused = f.unused[:0]
	for _, s := range servers {
		if s.isSuspected(now) && now.Sub(s.serverBelief.updatedAt) >= recentSignalAge {
			f.unused = append(f.unused, s.serverBelief.logOdds(now))
		}
	}
	maxUnused := int((1 - floor) * float64(len(servers)) / floorReserve)
	missing := len(f.unused) - maxUnused
	f.maxLogOdds = math.Inf(-1)
	if missing > 0 {
		slices.Sort(f.unused)
		f.maxLogOdds = f.unused[missing-1]
	}
}

// needs reports whether the floor brings a suspected server into use.
func (f *floorRank) needs(now model.Instant, s *server) bool {
	return now.Sub(s.serverBelief.updatedAt) >= recentSignalAge && s.serverBelief.logOdds(now) <= f.maxLogOdds
}
