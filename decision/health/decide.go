package health

import (
	"slices"

	"pollensail.dev/decision/model"
)

// minSwapMargin is how much higher a server's failure ratio has to be than that
// of an ejected one to replace it at the floor.
const minSwapMargin = 0.3

// Decision holds the changes that operators are told of.
type Decision struct {
	Ejected    []model.ServerID
	Readmitted []model.ServerID
	AtFloor    bool // a failing server has just had to stay in use because of the floor
}

// Decide moves servers between the phases: in use, ejected and in trial.
func (c *Coordinator) Decide(now model.Instant, pool PoolView) Decision {
	c.decidedAt = now
	c.decideAt = model.Never
	var d Decision
	c.forgetServers(now, pool)
	c.advancePhases(now, pool, &d)
	c.restoreFloor(now, pool, &d)
	c.ejectFailing(now, pool, &d)
	return d
}

// forgetServers removes servers that have left the pool and those that have
// been healthy for long enough.
func (c *Coordinator) forgetServers(now model.Instant, pool PoolView) {
	for id, s := range c.suspects {
		isMember := slices.Contains(pool.Members, id)
		if !isMember && s.phase != inUse {
			c.schedulePublish(now)
		}
		if !isMember || s.canForget(now) {
			delete(c.suspects, id)
		}
	}
}

// sortedSuspects returns the suspects in a fixed order, so that the same events
// give the same effects.
func (c *Coordinator) sortedSuspects() []*suspect {
	all := make([]*suspect, 0, len(c.suspects))
	for _, s := range c.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, compareWorstFirst)
	return all
}

// advancePhases starts the trials that are due and ends those that are decided.
func (c *Coordinator) advancePhases(now model.Instant, pool PoolView, d *Decision) {
	for _, s := range c.sortedSuspects() {
		switch {
		case s.phase == ejected && now >= s.phaseEnds:
			s.startTrial(now)
			c.schedulePublish(now)
		case s.phase == inTrial && s.hasFailedTrial(pool.Domains):
			c.eject(now, s, sumTallies(s.trial).badRatio(), d)
		case s.phase == inTrial && (now >= s.phaseEnds || sumTallies(s.trial).OK >= trialSuccesses):
			c.readmit(now, s, d)
		}
	}
}

// hasFailedTrial reports whether the trial shows failures that do not come from
// a single failure domain.
func (s *suspect) hasFailedTrial(domains int) bool {
	for f := range faultKinds {
		if trialShowsFault(s.trial, f, domains) {
			return true
		}
	}
	return false
}

// trialShowsFault applies the criteria of a failed trial to one kind of fault.
func trialShowsFault(trial []tally, f faultKind, domains int) bool {
	all := sumTallies(trial)
	bad, total := all.Bad[f], all.total()
	if bad < minTrialFailures || ratio(bad, total) < minEjectRatio {
		return false
	}
	for _, t := range trial {
		others := bad - t.Bad[f]
		if domains > 1 && (others < minTrialFailuresElsewhere || ratio(others, total-t.total()) < minOtherDomainsRatio) {
			return false
		}
	}
	return true
}

func (c *Coordinator) eject(now model.Instant, s *suspect, ratio float64, d *Decision) {
	s.eject(now, ratio)
	c.schedulePublish(now)
	d.Ejected = append(d.Ejected, s.id)
}

func (c *Coordinator) readmit(now model.Instant, s *suspect, d *Decision) {
	s.readmit(now)
	c.schedulePublish(now)
	d.Readmitted = append(d.Readmitted, s.id)
}

// isEjected reports whether a server is ejected.
func (c *Coordinator) isEjected(id model.ServerID) bool {
	s, ok := c.suspects[id]
	return ok && s.phase == ejected
}

// isOut reports whether a server is ejected or in trial.
func (c *Coordinator) isOut(id model.ServerID) bool {
	s, ok := c.suspects[id]
	return ok && s.phase != inUse
}

// restoreFloor readmits the least bad servers while more are out than the floor
// allows, as when healthy servers leave.
func (c *Coordinator) restoreFloor(now model.Instant, pool PoolView, d *Decision) {
	excess := pool.countOut(c.isOut) - pool.maxOut()
	for _, s := range c.leastBad(pool) {
		if excess <= 0 {
			return
		}
		c.readmit(now, s, d)
		excess--
	}
}

// leastBad returns the servers that are out and not impaired: those in trial
// first, then the ejected ones, each in ascending order of failure ratio.
func (c *Coordinator) leastBad(pool PoolView) []*suspect {
	var out []*suspect
	for _, p := range []phase{inTrial, ejected} {
		ids := c.inPhase(p)
		slices.Reverse(ids)
		for _, id := range ids {
			if !pool.IsImpaired(id) {
				out = append(out, c.suspects[id])
			}
		}
	}
	return out
}

// candidate is a server in use that is failing.
type candidate struct {
	*suspect
	currentRatio float64
}

// ejectFailing ejects the servers that are failing by the evidence, the highest
// failure ratio first, as far as the floor allows.
func (c *Coordinator) ejectFailing(now model.Instant, pool PoolView, d *Decision) {
	wasAtFloor := c.atFloor
	c.atFloor = false
	for _, bad := range c.candidates(now, pool) {
		if c.mayEject(now, bad.id, pool) {
			c.eject(now, bad.suspect, bad.currentRatio, d)
			continue
		}
		c.atFloor = true
		c.swap(now, bad, pool, d)
	}
	d.AtFloor = c.atFloor && !wasAtFloor
}

func (c *Coordinator) candidates(now model.Instant, pool PoolView) []candidate {
	t := c.estimateTraffic(now, pool)
	var bad []candidate
	for _, s := range c.suspects {
		if s.phase != inUse || now < s.immuneUntil || len(s.windows) == 0 {
			continue
		}
		j := judge(now, s, t)
		if !j.isBad {
			j = c.judgeByAvoidance(now, s, t)
		}
		if j.isBad {
			bad = append(bad, candidate{s, j.failureRatio})
		}
	}
	slices.SortFunc(bad, func(a, b candidate) int {
		return compareWorstFirst(&suspect{id: a.id, failureRatio: a.currentRatio}, &suspect{id: b.id, failureRatio: b.currentRatio})
	})
	return bad
}

// mayEject reports whether the floor holds with one more server out. A server
// counts as out for as long as a host may hold a set that contains it, so that
// two sets in force at the same time do not together put too many out.
func (c *Coordinator) mayEject(now model.Instant, id model.ServerID, pool PoolView) bool {
	if now < c.quietUntil && !c.mayBeInForce(now, id) {
		return false
	}
	out := pool.countOut(func(other model.ServerID) bool {
		return other == id || c.isOut(other) || c.mayBeInForce(now, other)
	})
	return out <= pool.maxOut()
}

// mayBeInForce reports whether a set that contains the server may be in force
// at a host.
func (c *Coordinator) mayBeInForce(now model.Instant, id model.ServerID) bool {
	at, ok := c.lastPublished[id]
	return ok && now < at.Add(maxSetInForceTime)
}

// swap readmits the least bad ejected server in favor of one with a far higher
// failure ratio. The latter is ejected once no host holds a set that contains
// the former. There is no swap while any readmitted server may still be out at
// a host, hence one swap at a time.
func (c *Coordinator) swap(now model.Instant, bad candidate, pool PoolView, d *Decision) {
	for id := range c.lastPublished {
		if c.mayBeInForce(now, id) && !c.isOut(id) {
			return
		}
	}
	out := c.leastBad(pool)
	if len(out) == 0 || out[0].failureRatio+minSwapMargin >= bad.currentRatio {
		return
	}
	out[0].immuneUntil = now.Add(maxSetInForceTime)
	c.readmit(now, out[0], d)
}
