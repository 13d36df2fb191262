package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollensail.dev/decision/estimate"
	"pollensail.dev/decision/model"
)

// Limits bound a host's use of one service.
type Limits struct {
	Slots       int           // requests that a server works on at once
	Connections int           // of this host to each server; 0: no limit
	Concurrency int           // bulkhead: requests in flight; 0: no limit
	Queue       int           // requests that wait; 0: none
	ColdRamp    time.Duration // 0: none
	Retries     RetryLimits
}

// Pool is a host's use of one service: its subset of the servers, the
// bulkhead and the queue. Make it with NewPool.
type Pool struct {
	limits   Limits
	subset   []*server
	byID     map[model.ServerID]*server
	inFlight int
	queue    queue
	budget   budget
	shortage shortage
	// held is how long a request keeps its place: the mean gives the rate at
	// which places become free, the fast quantile what a request needs at
	// least.
	held     estimate.Mean
	heldFast estimate.Quantile
	eligible []*server // scratch of pick
	shares   []float64 // of eligible, scratch of pick
}

// fastShare is the quantile of the holding time below which a request is
// assumed not to end.
const fastShare = 0.1

// NewPool returns a pool without servers.
func NewPool() *Pool {
	return &Pool{
		byID:     make(map[model.ServerID]*server),
		queue:    newQueue(),
		budget:   budget{tokens: minRetries},
		heldFast: estimate.NewQuantile(fastShare),
	}
}

// Configure sets the limits and the subset. Servers that left the subset keep
// their work in flight and get no more.
func (p *Pool) Configure(now model.Instant, limits Limits, subset []Member) {
	p.limits = limits
	p.budget.configure(now, limits.Retries)
	for _, s := range p.byID {
		s.inSubset = false
	}
	p.subset = p.subset[:0]
	for _, m := range subset {
		s := p.server(m.ID)
		s.Member = m
		s.inSubset = true
		p.subset = append(p.subset, s)
	}
	for id, s := range p.byID {
		if !s.inSubset && s.inFlight == 0 {
			delete(p.byID, id)
		}
	}
}

func (p *Pool) server(id model.ServerID) *server {
	s, ok := p.byID[id]
	if !ok {
		s = &server{}
		p.byID[id] = s
	}
	return s
}

// IsEmpty reports whether the host has no server for the service.
func (p *Pool) IsEmpty() bool { return len(p.subset) == 0 }

// InFlight returns the host's requests in flight to the service.
func (p *Pool) InFlight() int { return p.inFlight }

// HasRoom reports whether the bulkhead lets one more request through.
func (p *Pool) HasRoom() bool {
	return p.limits.Concurrency <= 0 || p.inFlight < p.limits.Concurrency
}

// HasOther reports whether the subset has a server that is not among tried.
func (p *Pool) HasOther(tried []model.ServerID) bool {
	for _, s := range p.subset {
		if !slices.Contains(tried, s.ID) {
			return true
		}
	}
	return false
}

// Take chooses a server and takes a place there and in the bulkhead. It
// reports false when there is no room.
func (p *Pool) Take(now model.Instant, rnd *rand.Rand, d Demand) (model.ServerID, bool) {
	if !p.HasRoom() {
		return "", false
	}
	s := p.pick(now, rnd, d)
	if s == nil {
		return "", false
	}
	s.inFlight++
	p.inFlight++
	return s.ID, true
}

// Release gives a place back. held is how long it was taken.
func (p *Pool) Release(id model.ServerID, held time.Duration) {
	p.inFlight--
	p.held.Add(held)
	p.heldFast.Add(held)
	s, ok := p.byID[id]
	if !ok {
		return
	}
	s.inFlight--
	if s.inFlight == 0 && !s.inSubset {
		delete(p.byID, id)
	}
}

// Report takes the load that a server reported with an answer.
func (p *Pool) Report(now model.Instant, id model.ServerID, inFlight, slots int) {
	s, ok := p.byID[id]
	if !ok || slots <= 0 {
		return
	}
	s.reported, s.slots, s.reportedAt = inFlight, slots, now
}

// Shed notes that a server refused a request unrun: it counts as fully loaded
// until the note is out of date.
func (p *Pool) Shed(now model.Instant, id model.ServerID) {
	s, ok := p.byID[id]
	if !ok {
		return
	}
	slots := s.slots
	if slots == 0 {
		slots = max(p.limits.Slots, 1)
	}
	s.reported = max(s.reported, slots)
	s.reportedAt = now
}

// Avoid makes the host use a server only while the others are busy, until the
// given time.
func (p *Pool) Avoid(id model.ServerID, until model.Instant) {
	if s, ok := p.byID[id]; ok {
		s.avoidUntil = until
	}
}

// saturationMemory is how long a report counts for IsSaturated.
const saturationMemory = 5 * time.Second

// IsSaturated reports whether more than half of the servers that reported
// their load of late are fully loaded. Slow answers then say nothing about a
// single server.
func (p *Pool) IsSaturated(now model.Instant) bool {
	recent, full := 0, 0
	for _, s := range p.subset {
		if s.slots == 0 || now.Sub(s.reportedAt) > saturationMemory {
			continue
		}
		recent++
		if s.reported >= s.slots {
			full++
		}
	}
	return 2*full > recent
}
