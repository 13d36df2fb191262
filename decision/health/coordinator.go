package health

import (
	"cmp"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// repeatInterval is the time between publications of an unchanged set.
	repeatInterval = 2 * time.Second
	// repeatSoon is the time from a change to its first repetition, which
	// reaches the hosts whose first copy was lost. Further ones follow after
	// ever longer times, by repeatFactor.
	repeatSoon   = 100 * time.Millisecond
	repeatFactor = 3
	// decideInterval bounds the work of a coordinator that gets many reports.
	decideInterval = 50 * time.Millisecond
)

// Coordinator decides about the servers of one service during one term of its
// slot. Make it with NewCoordinator.
type Coordinator struct {
	term      uint64
	domains   map[model.DomainID]int // to an index
	reporters reporters
	suspects  map[model.ServerID]*suspect
	// published is when each server was last part of a published set.
	published  map[model.ServerID]model.Instant
	sequence   uint64
	quietUntil model.Instant // no new ejections before
	decideAt   model.Instant // model.Never: nothing new
	decided    model.Instant
	publishAt  model.Instant // model.Never: nothing to say
	repeat     time.Duration // to the next repetition
	atFloor    bool
}

// Quiet is how long the sets of a lost coordinator may be in force somewhere.
const Quiet = linger

// NewCoordinator returns the coordinator of a term. inherited is the set in
// force at its host. Until quietUntil hosts may hold other sets of a lost
// coordinator; before, this one ejects no server that it did not inherit.
func NewCoordinator(now model.Instant, term uint64, quietUntil model.Instant, inherited message.EjectionSet) *Coordinator {
	c := &Coordinator{
		term:       term,
		quietUntil: quietUntil,
		domains:    make(map[model.DomainID]int),
		reporters:  make(reporters),
		suspects:   make(map[model.ServerID]*suspect),
		published:  make(map[model.ServerID]model.Instant),
		decideAt:   model.Never,
		publishAt:  model.Never,
	}
	c.inherit(now, inherited)
	return c
}

// inherit goes on with the ejections of the coordinator before.
func (c *Coordinator) inherit(now model.Instant, set message.EjectionSet) {
	for i, id := range set.Ejected {
		c.suspects[id] = &suspect{
			id:       id,
			phase:    ejected,
			until:    now.Add(firstEjection),
			offences: 1,
			ratio:    1 / float64(i+1),
		}
		c.published[id] = now
	}
	for _, id := range set.Trial {
		c.suspects[id] = &suspect{id: id, phase: inTrial, until: now.Add(trialTime), offences: 1}
		c.published[id] = now
	}
	if len(c.published) > 0 {
		c.change(now)
	}
}

// Term returns the term that the coordinator was made for.
func (c *Coordinator) Term() uint64 { return c.term }

// Take adds a host's report.
func (c *Coordinator) Take(now model.Instant, from model.HostRef, e message.Evidence) {
	domain := c.domain(e.Domain)
	if !c.reporters.take(now, from, domain, e) {
		return
	}
	for _, server := range e.Servers {
		suspect := c.suspect(server.Server)
		suspect.take(now, domain, tallyOf(server))
		suspect.takeAvoidance(now, from.ID, domain, server.AvoidFor)
	}
	if len(e.Servers) > 0 {
		c.decideAt = min(c.decideAt, max(now, c.decided.Add(decideInterval)))
	}
}

func tallyOf(e message.ServerEvidence) tally {
	t := tally{OK: e.OK - e.Slow}
	t.Bad[failing] = e.Failed - e.TimedOut
	t.Bad[late] = e.Slow + e.TimedOut
	return t
}

func (c *Coordinator) domain(id model.DomainID) int {
	i, ok := c.domains[id]
	if !ok {
		i = len(c.domains)
		c.domains[id] = i
	}
	return i
}

func (c *Coordinator) suspect(id model.ServerID) *suspect {
	s, ok := c.suspects[id]
	if !ok {
		s = &suspect{id: id}
		c.suspects[id] = s
	}
	return s
}

// Next returns when Decide or Publish next has something to do.
func (c *Coordinator) Next() model.Instant {
	next := min(c.decideAt, c.publishAt)
	for _, s := range c.suspects {
		if s.phase != inUse {
			next = min(next, s.until)
		}
	}
	return next
}

// Publish returns the whole set for all hosts if it is due. Each publication
// has a new sequence number, because repeating one would not renew the set.
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
		c.published[id] = now
	}
	c.scheduleRepeat(now)
	return set, true
}

// scheduleRepeat sets the next publication. An empty set is repeated while
// older ones may be in force.
func (c *Coordinator) scheduleRepeat(now model.Instant) {
	for id, at := range c.published {
		if now >= at.Add(linger) {
			delete(c.published, id)
		}
	}
	if len(c.published) == 0 {
		c.publishAt = model.Never
		return
	}
	c.publishAt = now.Add(c.repeat)
	c.repeat = min(c.repeat*repeatFactor, repeatInterval)
}

// change makes a publication due now, with quick repetitions.
func (c *Coordinator) change(now model.Instant) {
	c.publishAt = now
	c.repeat = repeatSoon
}

// inPhase returns the servers in a phase, the worst first.
func (c *Coordinator) inPhase(p phase) []model.ServerID {
	var found []*suspect
	for _, s := range c.suspects {
		if s.phase == p {
			found = append(found, s)
		}
	}
	slices.SortFunc(found, worstFirst)
	ids := make([]model.ServerID, len(found))
	for i, s := range found {
		ids[i] = s.id
	}
	return ids
}

func worstFirst(a, b *suspect) int {
	return cmp.Or(cmp.Compare(b.ratio, a.ratio), cmp.Compare(a.id, b.id))
}
