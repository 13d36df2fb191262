package placement

import (
	"math"
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// floorReserve divides the servers that the floor allows to be unused: with the
	// reserve one part of them may be, the others make up for sound servers that are
	// taken for failing ones, and for those in use that get few requests.
	floorReserve = 4
	// unusedMargin is how many servers fewer than the floor allows may be unused
	// without a shortage: servers are whole, their expected number is not.
	unusedMargin = 0.75
	// floorUpdateInterval bounds how often the servers are ranked for the floor.
	floorUpdateInterval = 100 * time.Millisecond
	// recentSignalAge is how long a suspected server counts as in use after a
	// signal about it. The signal comes when an attempt ends and the next probe some time
	// later; together they are to take less than the two seconds in which a server that
	// is in use gets a request.
	recentSignalAge = time.Second
	// likelySoundLogOdds are the log odds of failing up to which a suspected server is more
	// likely sound than failing. For such servers the floor holds with the reserve at all
	// times: a part of a service may be disturbed in ways that this host does not see, and
	// the floor has to hold for the others alone.
	likelySoundLogOdds = 0.0
	// likelyUnusedMargin is how many likely sound servers fewer than the reserve allows
	// may be unused. In a service of some twenty servers none may be: one that is unused
	// can be one too many of those that are not disturbed.
	likelyUnusedMargin = 1.5
)

// floorRank keeps Limits.Floor of the sound servers in use, however many are
// suspected. Hosts get the same signals, so without it all of them leave the same
// servers unused. It holds at all times, because a shortage is noticed only when
// requests have failed, and never where they are lost at hosts that are gone or refused
// for a reason that says nothing about the service; in a shortage it holds with a reserve.
type floorRank struct {
	// maxLogOdds is the highest log odds of failing among the suspected servers
	// that are brought into use, the least suspected ones that were not in use
	// recently.
	maxLogOdds float64
	updatedAt  model.Instant
	isRanked   bool
	unused     []float64 // log odds of the servers not in use, scratch space
}

// update ranks the servers if the last ranking is too old. Cold servers whose rate is
// limited count as unused.
func (f *floorRank) update(now model.Instant, servers []*server, limits *Limits, isShort bool) {
	if f.isRanked && now.Sub(f.updatedAt) < floorUpdateInterval {
		return
	}
	f.isRanked, f.updatedAt = true, now
	f.unused = f.unused[:0]
	sound, soundCold, cold := 0.0, 0.0, 0 // expected numbers of sound servers, and cold servers
	for _, s := range servers {
		probability := s.serverBelief.soundProbability(now)
		sound += probability
		if limits.Cold.Rate > 0 && s.isCold(now, limits.ColdRamp) {
			soundCold += probability
			cold++
			continue
		}
		if s.isSuspected(now) && now.Sub(s.serverBelief.updatedAt) >= recentSignalAge {
			f.unused = append(f.unused, s.serverBelief.logOdds(now))
		}
	}
	slices.Sort(f.unused)
	missing := f.missingSound((1-limits.Floor)*sound - unusedMargin - soundCold)
	if isShort {
		maxUnused := max(int((1-limits.Floor)*float64(len(servers))/floorReserve)-cold, 0)
		missing = max(missing, len(f.unused)-maxUnused)
	}
	likelySound := f.missingSound((1-limits.Floor)*sound/floorReserve - likelyUnusedMargin - soundCold)
	f.maxLogOdds = max(f.rankLogOdds(missing), min(f.rankLogOdds(likelySound), likelySoundLogOdds))
}

// rankLogOdds returns the log odds of the last of the n least suspected unused servers.
func (f *floorRank) rankLogOdds(n int) float64 {
	if n <= 0 {
		return math.Inf(-1)
	}
	return f.unused[n-1]
}

// missingSound returns how many of the unused servers, the least suspected first,
// have to be used so that at most maxUnused sound ones are expected among the
// others.
func (f *floorRank) missingSound(maxUnused float64) int {
	expected := 0.0
	for i, logOdds := range slices.Backward(f.unused) {
		expected += soundProbabilityOf(logOdds)
		if expected > maxUnused {
			return i + 1
		}
	}
	return 0
}

// needs reports whether the floor brings a suspected server into use.
func (f *floorRank) needs(now model.Instant, s *server) bool {
	return now.Sub(s.serverBelief.updatedAt) >= recentSignalAge && s.serverBelief.logOdds(now) <= f.maxLogOdds
}
