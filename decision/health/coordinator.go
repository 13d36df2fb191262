package health

import (
	"cmp"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// maxRepeatInterval is the longest time between publications of an
	// unchanged set.
	maxRepeatInterval = 2 * time.Second
	// firstRepeatDelay is the time from a change to its first repetition, which
	// reaches the hosts whose first copy was lost. Each further delay is longer
	// by repeatBackoffFactor.
	firstRepeatDelay    = 100 * time.Millisecond
	repeatBackoffFactor = 3
	// minDecideInterval is the least time after a run of Decide until new reports
	// make another one due. It bounds the work of a coordinator that gets many
	// reports.
	minDecideInterval = 50 * time.Millisecond
)

// Coordinator decides about the servers of one service during one term of its
// slot. Make it with NewCoordinator or ResumeCoordinator.
type Coordinator struct {
	term          uint64
	domainIndexes map[model.DomainID]int // index of each failure domain in counts by domain
	reporters     reporters
	suspects      map[model.ServerID]*suspect
	// lastPublished is when each server was last part of a published set.
	lastPublished map[model.ServerID]model.Instant
	sequence      uint64
	quietUntil    model.Instant // before this, only inherited servers may be ejected
	decideAt      model.Instant // model.Never: no new reports
	decidedAt     model.Instant
	publishAt     model.Instant // model.Never: nothing to publish
	repeatDelay   time.Duration // until the next repetition
	atFloor       bool          // a failing server has to stay in use because of the floor
}

// QuietPeriod is how long a coordinator that replaces a failed one ejects only
// servers that it inherited: sets of the failed one may be in force at some
// host for that long.
const QuietPeriod = maxSetInForceTime

// NewCoordinator returns the coordinator of a term. inherited is the set in
// force at its host. Until quietUntil, hosts may hold other sets of a failed
// coordinator, and the new one ejects only servers that it inherited.
func NewCoordinator(now model.Instant, term uint64, quietUntil model.Instant, inherited message.EjectionSet) *Coordinator {
	c := &Coordinator{
		term:          term,
		quietUntil:    quietUntil,
		domainIndexes: make(map[model.DomainID]int),
		reporters:     make(reporters),
		suspects:      make(map[model.ServerID]*suspect),
		lastPublished: make(map[model.ServerID]model.Instant),
		decideAt:      model.Never,
		publishAt:     model.Never,
	}
	c.inherit(now, inherited)
	return c
}

// inherit takes over the ejections and trials of the coordinator before.
func (c *Coordinator) inherit(now model.Instant, set message.EjectionSet) {
	for i, id := range set.Ejected {
		c.suspects[id] = &suspect{
			id:                   id,
			phase:                ejected,
			phaseEnds:            now.Add(minEjectionTime),
			consecutiveEjections: 1,
			failureRatio:         1 / float64(i+1), // keeps the order of the set
		}
		c.lastPublished[id] = now
	}
	for _, id := range set.Trial {
		c.suspects[id] = &suspect{id: id, phase: inTrial, phaseEnds: now.Add(maxTrialTime), consecutiveEjections: 1}
		c.lastPublished[id] = now
	}
	if len(c.lastPublished) > 0 {
		c.schedulePublish(now)
	}
}

// Term returns the term that the coordinator was made for.
func (c *Coordinator) Term() uint64 { return c.term }

// AddReport adds a host's report. It ignores duplicate and reordered ones.
func (c *Coordinator) AddReport(now model.Instant, from model.HostRef, e message.Evidence) {
	domain := c.domainIndex(e.Domain)
	if !c.reporters.accept(now, from, domain, e) {
		return
	}
	for _, server := range e.Servers {
		suspect := c.getOrAddSuspect(server.Server)
		suspect.addCounts(now, domain, tallyFromEvidence(server))
		suspect.recordAvoidance(now, from.ID, domain, server.AvoidFor)
	}
	if len(e.Servers) > 0 {
		c.decideAt = min(c.decideAt, max(now, c.decidedAt.Add(minDecideInterval)))
	}
}

func tallyFromEvidence(e message.ServerEvidence) tally {
	t := tally{OK: e.OK - e.Slow}
	t.Bad[faultFailed] = e.Failed - e.TimedOut
	t.Bad[faultLate] = e.Slow + e.TimedOut
	return t
}

func (c *Coordinator) domainIndex(id model.DomainID) int {
	i, ok := c.domainIndexes[id]
	if !ok {
		i = len(c.domainIndexes)
		c.domainIndexes[id] = i
	}
	return i
}

func (c *Coordinator) getOrAddSuspect(id model.ServerID) *suspect {
	s, ok := c.suspects[id]
	if !ok {
		s = &suspect{id: id}
		c.suspects[id] = s
	}
	return s
}

// NextDue returns when Decide or Publish is next due.
func (c *Coordinator) NextDue() model.Instant {
	next := min(c.decideAt, c.publishAt)
	for _, s := range c.suspects {
		if s.phase != inUse {
			next = min(next, s.phaseEnds)
		}
	}
	return next
}

// Publish returns the complete set for all hosts if it is due. Each publication
// has a new sequence number, because hosts ignore a repeated one and would not
// renew the set.
func (c *Coordinator) Publish(now model.Instant) (message.EjectionSet, bool) {
	if now < c.publishAt {
		return message.EjectionSet{}, false
	}
	c.sequence++
	set := message.EjectionSet{
		Term:     c.term,
		Sequence: c.sequence,
		Ejected:  c.inPhase(ejected),
		Trial:    c.inPhase(inTrial),
	}
	for _, id := range slices.Concat(set.Ejected, set.Trial) {
		c.lastPublished[id] = now
	}
	c.scheduleRepeat(now)
	return set, true
}

// scheduleRepeat sets the time of the next publication. An empty set is
// repeated while older sets may be in force.
func (c *Coordinator) scheduleRepeat(now model.Instant) {
	for id, at := range c.lastPublished {
		if now >= at.Add(maxSetInForceTime) {
			delete(c.lastPublished, id)
		}
	}
	if len(c.lastPublished) == 0 {
		c.publishAt = model.Never
		return
	}
	c.publishAt = now.Add(c.repeatDelay)
	c.repeatDelay = min(c.repeatDelay*repeatBackoffFactor, maxRepeatInterval)
}

// schedulePublish makes a publication due now, followed by quick repetitions.
func (c *Coordinator) schedulePublish(now model.Instant) {
	c.publishAt = now
	c.repeatDelay = firstRepeatDelay
}

// inPhase returns the servers in a phase, the highest failure ratio first.
func (c *Coordinator) inPhase(p phase) []model.ServerID {
	var found []*suspect
	for _, s := range c.suspects {
		if s.phase == p {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, compareWorstFirst)
	ids := make([]model.ServerID, len(found))
	for i, s := range found {
		ids[i] = s.id
	}
	return ids
}

func compareWorstFirst(a, b *suspect) int {
	return cmp.Or(cmp.Compare(b.failureRatio, a.failureRatio), cmp.Compare(a.id, b.id))
}
