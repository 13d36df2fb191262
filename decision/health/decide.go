package health

import (
	"slices"

	"pollensail.dev/decision/model"
)

// swapMargin is how much worse, as a share of failures, a server has to be
// than an ejected one to take its place at the floor.
const swapMargin = 0.3

// Decision is what changed for operators.
type Decision struct {
	Ejected    []model.ServerID
	Readmitted []model.ServerID
	AtFloor    bool // a failing server has just had to stay in use
}

// Decide moves servers between use, ejection and trial.
func (c *Coordinator) Decide(now model.Instant, pool Pool) Decision {
	c.decided = now
	c.decideAt = model.Never
	var d Decision
	c.forget(now, pool)
	c.advancePhases(now, pool, &d)
	c.keepFloor(now, pool, &d)
	c.ejectBad(now, pool, &d)
	return d
}

// forget drops servers that left the pool and those that are long healthy.
func (c *Coordinator) forget(now model.Instant, pool Pool) {
	for id, s := range c.suspects {
		isMember := slices.Contains(pool.Members, id)
		if !isMember && s.phase != inUse {
			c.change(now)
		}
		if !isMember || s.isForgotten(now) {
			delete(c.suspects, id)
		}
	}
}

// ordered returns the suspects in a fixed order, so that the same events give
// the same effects.
func (c *Coordinator) ordered() []*suspect {
	all := make([]*suspect, 0, len(c.suspects))
	for _, s := range c.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, worstFirst)
	return all
}

// advancePhases starts trials whose time has come and ends decided ones.
func (c *Coordinator) advancePhases(now model.Instant, pool Pool, d *Decision) {
	for _, s := range c.ordered() {
		switch {
		case s.phase == ejected && now >= s.until:
			s.startTrial(now)
			c.change(now)
		case s.phase == inTrial && s.hasFailed(pool.Domains):
			c.eject(now, s, sum(s.trial).badRatio(), d)
		case s.phase == inTrial && (now >= s.until || sum(s.trial).OK >= trialPasses):
			c.readmit(now, s, d)
		}
	}
}

// hasFailed reports whether the trial shows failures that no single domain
// explains.
func (s *suspect) hasFailed(domains int) bool {
	for f := range faults {
		if hasFailedTrial(s.trial, f, domains) {
			return true
		}
	}
	return false
}

func hasFailedTrial(trial []tally, f fault, domains int) bool {
	all := sum(trial)
	bad, total := all.Bad[f], all.total()
	if bad < trialFailures || ratio(bad, total) < ejectRatio {
		return false
	}
	for _, t := range trial {
		others := bad - t.Bad[f]
		if domains > 1 && (others < trialElsewhere || ratio(others, total-t.total()) < otherRatio) {
			return false
		}
	}
	return true
}

func (c *Coordinator) eject(now model.Instant, s *suspect, ratio float64, d *Decision) {
	s.eject(now, ratio)
	c.change(now)
	d.Ejected = append(d.Ejected, s.id)
}

func (c *Coordinator) readmit(now model.Instant, s *suspect, d *Decision) {
	s.readmit(now)
	c.change(now)
	d.Readmitted = append(d.Readmitted, s.id)
}

// isEjected reports whether a server gets no work.
func (c *Coordinator) isEjected(id model.ServerID) bool {
	s, ok := c.suspects[id]
	return ok && s.phase == ejected
}

// isOut reports whether a server is ejected or in trial.
func (c *Coordinator) isOut(id model.ServerID) bool {
	s, ok := c.suspects[id]
	return ok && s.phase != inUse
}

// keepFloor readmits the least bad servers while there are too many out, as
// when servers leave that were healthy.
func (c *Coordinator) keepFloor(now model.Instant, pool Pool, d *Decision) {
	excess := pool.out(c.isOut) - pool.spare()
	for _, s := range c.leastBad(pool) {
		if excess <= 0 {
			return
		}
		c.readmit(now, s, d)
		excess--
	}
}

// leastBad returns the servers that are out and not impaired, those in trial
// first, then the least bad.
func (c *Coordinator) leastBad(pool Pool) []*suspect {
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

// candidate is a server in use that is to be ejected.
type candidate struct {
	*suspect
	ratio float64
}

// ejectBad ejects the servers that the evidence shows to fail, the worst
// first, as far as the floor allows.
func (c *Coordinator) ejectBad(now model.Instant, pool Pool, d *Decision) {
	wasAtFloor := c.atFloor
	c.atFloor = false
	for _, bad := range c.candidates(now, pool) {
		if c.mayEject(now, bad.id, pool) {
			c.eject(now, bad.suspect, bad.ratio, d)
			continue
		}
		c.atFloor = true
		c.swap(now, bad, pool, d)
	}
	d.AtFloor = c.atFloor && !wasAtFloor
}

func (c *Coordinator) candidates(now model.Instant, pool Pool) []candidate {
	f := c.flow(now, pool)
	var bad []candidate
	for _, s := range c.suspects {
		if s.phase != inUse || now < s.immuneUntil || len(s.windows) == 0 {
			continue
		}
		v := judge(now, s, f)
		if !v.isBad {
			v = c.judgeAvoided(now, s, f)
		}
		if v.isBad {
			bad = append(bad, candidate{s, v.ratio})
		}
	}
	slices.SortFunc(bad, func(a, b candidate) int {
		return worstFirst(&suspect{id: a.id, ratio: a.ratio}, &suspect{id: b.id, ratio: b.ratio})
	})
	return bad
}

// mayEject reports whether the floor holds with one more server out. A server
// counts for as long as any host may hold a set that it was part of, so that
// two sets in force at once do not add up to more.
func (c *Coordinator) mayEject(now model.Instant, id model.ServerID, pool Pool) bool {
	if now < c.quietUntil && !c.mayBeInForce(now, id) {
		return false
	}
	out := pool.out(func(other model.ServerID) bool {
		return other == id || c.isOut(other) || c.mayBeInForce(now, other)
	})
	return out <= pool.spare()
}

// mayBeInForce reports whether a set with the server may be in force at a
// host.
func (c *Coordinator) mayBeInForce(now model.Instant, id model.ServerID) bool {
	at, ok := c.published[id]
	return ok && now < at.Add(linger)
}

// swap readmits the least bad ejected server for one that is far worse. The
// worse one follows once no host holds a set with the other. One swap at a
// time: none while an earlier one is on its way.
func (c *Coordinator) swap(now model.Instant, bad candidate, pool Pool, d *Decision) {
	for id := range c.published {
		if c.mayBeInForce(now, id) && !c.isOut(id) {
			return
		}
	}
	out := c.leastBad(pool)
	if len(out) == 0 || out[0].ratio+swapMargin >= bad.ratio {
		return
	}
	out[0].immuneUntil = now.Add(linger)
	c.readmit(now, out[0], d)
}
