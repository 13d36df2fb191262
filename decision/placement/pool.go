package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollensail.dev/decision/estimate"
	"pollensail.dev/decision/model"
)

// Limits bounds a host's use of one service.
type Limits struct {
	Hosts       int           // entry hosts that use the service
	Floor       float64       // share of the servers, 0 to 1, that stays in use in a shortage even if suspected
	Slots       int           // requests that a server processes concurrently
	Connections int           // requests in flight from this host to each server; 0: no limit
	Concurrency int           // bulkhead: requests in flight from this host to the service; 0: no limit
	Queue       int           // requests that wait for a slot; 0: none
	ColdRamp    time.Duration // slow start: time until a new server gets its full share; 0: none
	Retries     RetryLimits
	Cold        ColdLimit
	// HostSets determines this host's share of Cold; nil: this host is alone.
	HostSets *HostSets
	// EstimatesLoad selects servers by their expected load between reports.
	EstimatesLoad bool
}

// Pool holds a host's view of one service: its subset of the servers, the
// bulkhead, the queue and the retry budget. Make it with NewPool.
type Pool struct {
	limits      Limits
	subset      []*server
	byID        map[model.ServerID]*server
	inFlight    int
	queue       queue
	retryBudget retryBudget
	shortage    shortage
	floor       floorRank
	cold        coldUse
	serviceLoad serviceLoad
	sampling    sampling
	// reportAllowance is how many load reports may be passed on, as of
	// reportsTakenAt. invalidReports counts reports that broke a rule.
	reportAllowance float64
	reportsTakenAt  model.Instant
	invalidReports  int
	// choices counts the choices of a server while the load is estimated,
	// outsideChoices those of a server of another failure domain.
	choices, outsideChoices int
	// holdTime is how long a request occupies its slot. The mean gives the rate
	// at which slots become free; the low quantile fastHoldTime estimates the
	// least time that a request needs.
	holdTime     estimate.Mean
	fastHoldTime estimate.Quantile
	// answerTimes are the response times of answered attempts, by class.
	answerTimes [model.ClassCount]estimate.ResponseTime
	eligible    []*server // scratch space of pick
	weights     []float64 // of eligible, scratch space of pick
}

// fastHoldTimeQuantile is the quantile of the hold time that is taken as the
// least time a request needs.
const fastHoldTimeQuantile = 0.1

// NewPool returns a pool without servers.
func NewPool() *Pool {
	return &Pool{
		byID:         make(map[model.ServerID]*server),
		queue:        newQueue(),
		retryBudget:  retryBudget{tokens: baselineRetryTokens},
		fastHoldTime: estimate.NewQuantile(fastHoldTimeQuantile),
	}
}

// Configure sets the limits and the subset. Servers that left the subset finish
// their requests in flight and get no new ones.
func (p *Pool) Configure(now model.Instant, limits Limits, subset []Member) {
	p.limits = limits
	p.cold.configure(limits.Cold)
	p.shortage.hosts = limits.Hosts
	p.floor.isRanked = false
	p.sampling.isUpdated = false
	p.retryBudget.configure(now, limits.Retries)
	for _, s := range p.byID {
		s.inSubset = false
	}
	p.subset = p.subset[:0]
	for _, m := range subset {
		s := p.getOrAddServer(m.ID)
		if s.Start != m.Start {
			s.estimate = loadEstimate{} // a new process
		}
		s.Member = m
		s.inSubset = true
		s.coldShare = nil
		p.subset = append(p.subset, s)
	}
	for id, s := range p.byID {
		if !s.inSubset && s.inFlight == 0 && !s.isPaused(now) && !p.remembersPlacement(now, s) {
			delete(p.byID, id)
		}
	}
}

func (p *Pool) getOrAddServer(id model.ServerID) *server {
	s, ok := p.byID[id]
	if !ok {
		s = &server{}
		p.byID[id] = s
	}
	return s
}

// IsEmpty reports whether the host has no server for the service in the regions.
func (p *Pool) IsEmpty(regions []model.RegionID) bool {
	return len(p.subset) == 0 || regions != nil && !p.HasUntried(nil, regions)
}

// InFlight returns the host's requests in flight to the service.
func (p *Pool) InFlight() int { return p.inFlight }

// HasRoom reports whether the bulkhead admits one more request.
func (p *Pool) HasRoom() bool {
	return p.limits.Concurrency <= 0 || p.inFlight < p.limits.Concurrency
}

// HasUntried reports whether the subset has a server in the regions that is not in
// tried.
func (p *Pool) HasUntried(tried []model.ServerID, regions []model.RegionID) bool {
	for _, s := range p.subset {
		if s.allows(regions) && !slices.Contains(tried, s.ID) {
			return true
		}
	}
	return false
}

// Acquire chooses a server and occupies a slot there and in the bulkhead. It
// reports false when there is no capacity.
func (p *Pool) Acquire(now model.Instant, rnd *rand.Rand, info PickInfo) (model.ServerID, bool) {
	if !p.HasRoom() {
		return "", false
	}
	s := p.pick(now, rnd, info)
	if s == nil {
		return "", false
	}
	s.inFlight++
	s.placedAt = now
	p.inFlight++
	if p.limits.EstimatesLoad {
		p.choices++
		if !s.IsNear {
			p.outsideChoices++
		}
	}
	return s.ID, true
}

// Release frees the slot of a request. holdTime is how long it was occupied.
func (p *Pool) Release(id model.ServerID, holdTime time.Duration) {
	p.inFlight--
	p.holdTime.Add(holdTime)
	p.fastHoldTime.Add(holdTime)
	s, ok := p.byID[id]
	if !ok {
		return
	}
	s.inFlight--
	if s.inFlight == 0 && !s.inSubset && s.pausedUntil == 0 && !p.LimitsCold() {
		delete(p.byID, id)
	}
}

// RecordLoad records the load that a server sent with an answer: its requests
// in flight and its slots.
func (p *Pool) RecordLoad(now model.Instant, id model.ServerID, inFlight, slots int) {
	s, ok := p.byID[id]
	if !ok || slots <= 0 {
		return
	}
	s.reportedLoad, s.reportedSlots, s.reportedAt = inFlight, slots, now
}

// RecordShed records that a server refused a request without running it. That
// counts as a report of full load, whose weight falls with its age like that of
// any other.
func (p *Pool) RecordShed(now model.Instant, id model.ServerID) {
	s, ok := p.byID[id]
	if !ok {
		return
	}
	slots := s.reportedSlots
	if slots == 0 {
		slots = max(p.limits.Slots, 1)
	}
	s.reportedLoad = max(s.reportedLoad, slots)
	s.reportedAt = now
	p.recordFull(now, s)
}

// Avoid makes the host use a server only while the others are busy, until the
// given time.
func (p *Pool) Avoid(id model.ServerID, until model.Instant) {
	if s, ok := p.byID[id]; ok {
		s.avoidUntil = until
	}
}

// saturationWindow is how long a load report counts for IsSaturated.
const saturationWindow = 5 * time.Second

// IsSaturated reports whether more than half of the servers with a recent load
// report are fully loaded. Slow answers are then no evidence against a single
// server.
func (p *Pool) IsSaturated(now model.Instant) bool {
	recent, full := 0, 0
	for _, s := range p.subset {
		if s.reportedSlots == 0 || now.Sub(s.reportedAt) > saturationWindow {
			continue
		}
		recent++
		if s.reportedLoad >= s.reportedSlots {
			full++
		}
	}
	return 2*full > recent
}
