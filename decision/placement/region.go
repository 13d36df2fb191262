package placement

import (
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

// A request may be restricted to the servers of some regions. Methods that take
// regions count only the servers there: nil stands for all servers, and a list
// without elements for none. A server whose region is unknown is in none of them.

// allows reports whether a request that is restricted to the regions may be sent to
// the server.
func (s *server) allows(regions []model.RegionID) bool {
	return regions == nil || s.isIn(regions)
}

func (s *server) isIn(regions []model.RegionID) bool {
	return s.Region != "" && slices.Contains(regions, s.Region)
}

// waitsForRegion reports whether a restricted request has to wait for a server
// although others may have room: all servers of its regions are full, or cold and without
// a free share of this host. It is false if
// there are none or all are paused, because the request is then refused at once.
func (p *Pool) waitsForRegion(now model.Instant, regions []model.RegionID) bool {
	if regions == nil {
		return false
	}
	waits := false
	for _, s := range p.subset {
		if !s.allows(regions) {
			continue
		}
		if p.mayPlace(now, s, regions) {
			return false
		}
		waits = waits || !s.isPaused(now)
	}
	return waits
}

// regionWait remembers the last result of waitsForRegion. Most queued requests that
// are restricted have the same regions.
type regionWait struct {
	pool    *Pool
	now     model.Instant
	regions []model.RegionID
	waits   bool
}

func (w *regionWait) blocks(q QueuedRequest) bool {
	if q.Regions == nil {
		return false
	}
	if w.regions == nil || !slices.Equal(w.regions, q.Regions) {
		w.regions, w.waits = q.Regions, w.pool.waitsForRegion(w.now, q.Regions)
	}
	return w.waits
}

// HasWaiting reports whether a queued request could be sent to a server as soon as
// the bulkhead admits it. A new request must not pass it.
func (p *Pool) HasWaiting(now model.Instant) bool {
	return p.queue.length > 0 && p.hasUnblocked(now)
}

func (p *Pool) hasUnblocked(now model.Instant) bool {
	wait := regionWait{pool: p, now: now}
	for _, f := range p.queue.activeFlows {
		if f.first(&wait) >= 0 {
			return true
		}
	}
	return false
}

// SetQueuedRegions sets the regions of each queued request anew, as the function
// returns them, because a change of the configuration may change them.
func (p *Pool) SetQueuedRegions(regions func(model.RequestID) []model.RegionID) {
	for _, f := range p.queue.activeFlows {
		for i := range f.items {
			f.items[i].Regions = regions(f.items[i].Request)
		}
	}
}

// DequeueUnservable removes a restricted request without a server in its regions from
// the queue, whatever capacity there is. It reports false if there is none.
func (p *Pool) DequeueUnservable() (QueuedRequest, bool) {
	for _, f := range p.queue.activeFlows {
		for _, w := range f.items {
			if w.Regions != nil && p.IsEmpty(w.Regions) {
				p.queue.remove(w.Request, w.Account)
				return w, true
			}
		}
	}
	return QueuedRequest{}, false
}

// SetRegions sets the region of each server of the subset anew.
func (p *Pool) SetRegions(regionOf func(model.ServerID) model.RegionID) {
	for _, s := range p.subset {
		s.Region = regionOf(s.ID)
	}
}

// first returns the index of the first request of the flow that does not wait for a
// server of its regions, -1 if there is none.
func (f *flow) first(wait *regionWait) int {
	for i := range f.items {
		if !wait.blocks(f.items[i]) {
			return i
		}
	}
	return -1
}

// waitBeforeStart estimates how long a request that joins the queue now waits. Where
// the bulkhead has room, a restricted request waits only for the servers of its
// regions, behind those that may use them too.
func (p *Pool) waitBeforeStart(w QueuedRequest) time.Duration {
	ahead := p.queue.requestsAhead(w.Account, w.Weight)
	if w.Regions == nil || !p.HasRoom() {
		return p.estimatedWait(ahead, p.inFlight)
	}
	inFlight := 0
	for _, s := range p.subset {
		if s.allows(w.Regions) {
			inFlight += s.inFlight
		}
	}
	return p.estimatedWait(min(ahead, p.queue.countWithin(w.Regions)), inFlight)
}

// countWithin returns how many queued requests may use servers of the regions.
func (q *queue) countWithin(regions []model.RegionID) int {
	n := 0
	for _, f := range q.activeFlows {
		for i := range f.items {
			own := f.items[i].Regions
			sharesRegion := func(r model.RegionID) bool { return slices.Contains(regions, r) }
			if own == nil || slices.ContainsFunc(own, sharesRegion) {
				n++
			}
		}
	}
	return n
}

// RegionalSubset returns the servers of a service that a host uses where requests
// may be restricted to regions: in each region the first of them, as many as
// SubsetSize says, so that no region is left out.
func RegionalSubset(hosts, connections int, usable []Member) []Member {
	servers := make(map[model.RegionID]int)
	for _, m := range usable {
		servers[m.Region]++
	}
	left := make(map[model.RegionID]int, len(servers))
	for region, n := range servers {
		left[region] = SubsetSize(hosts, n, connections)
	}
	var subset []Member
	for _, m := range usable {
		if left[m.Region] > 0 {
			left[m.Region]--
			subset = append(subset, m)
		}
	}
	return subset
}
