package decision

import (
	"maps"
	"slices"
	"time"

	"pollensail.dev/decision/health"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

const (
	// rateInterval is the time between reports that tell only a host's rate.
	rateInterval = 5 * time.Second
	// rateSpacing bounds these reports to two a second for a host that uses
	// many services.
	rateSpacing = 500 * time.Millisecond
)

// observe takes the result of an attempt as evidence and gives the place back
// unless the answer still streams.
func (s *State) observe(r *request, result model.AttemptResult) {
	s.takeLoad(r, result)
	if result.Draining || result.IsOther {
		s.serverDrains(r.server)
	}
	if result.Streaming {
		streamed := result
		r.streamed = &streamed
		return
	}
	s.takeFinding(r, result)
	s.unplace(r)
}

// streamEnded takes the end of a streamed answer as evidence.
func (s *State) streamEnded(r *request, serverFailed bool) {
	if r.streamed == nil {
		return
	}
	result := *r.streamed
	r.streamed = nil
	if serverFailed {
		result.Reason = model.ReasonServerFailed
	}
	s.takeFinding(r, result)
}

// takeLoad notes the load that the server reported.
func (s *State) takeLoad(r *request, result model.AttemptResult) {
	pool := s.pool(r.service)
	if pool == nil {
		return
	}
	pool.Report(s.now, r.server, result.InFlight, result.Slots)
	if result.Shed {
		pool.Shed(s.now, r.server)
	}
}

// takeFinding counts an attempt and avoids the server if the way to it is
// faulty.
func (s *State) takeFinding(r *request, result model.AttemptResult) {
	service := r.service
	pool := s.pool(service)
	if pool == nil {
		return
	}
	if s.sharesSigns(service) {
		s.noteSign(r, pool, signOf(result))
		return
	}
	monitor := s.monitor(service)
	monitor.Observe(s.now, health.Attempt{
		Server:  r.server,
		Class:   r.route.Class,
		Result:  result,
		InTrial: slices.Contains(s.servers.inForce[service].trial, r.server),
		Loaded:  pool.IsSaturated(s.now),
	})
	pool.Avoid(r.server, monitor.AvoidUntil(r.server))
	s.setEvidenceTimer(monitor.Due(s.rateInterval()))
}

func (s *State) monitor(id model.ServiceID) *health.Monitor {
	m, ok := s.servers.monitors[id]
	if !ok {
		m = health.NewMonitor()
		s.servers.monitors[id] = m
	}
	return m
}

func (s *State) rateInterval() time.Duration {
	return max(rateInterval, time.Duration(len(s.servers.monitors))*rateSpacing)
}

// setEvidenceTimer makes the next report due at the given time at the latest.
func (s *State) setEvidenceTimer(at model.Instant) {
	if at >= s.servers.evidenceAt {
		return
	}
	s.servers.evidenceAt = at
	s.timers.Set(timerKey{timerServers, serversTimerEvidence}, at)
}

// sendEvidence sends the reports that are due to their coordinators.
func (s *State) sendEvidence() {
	s.servers.evidenceAt = model.Never
	next := model.Never
	for _, id := range slices.Sorted(maps.Keys(s.servers.monitors)) {
		monitor := s.servers.monitors[id]
		if monitor.Due(s.rateInterval()) <= s.now {
			s.report(id, monitor.Report(s.now))
		}
		next = min(next, monitor.Due(s.rateInterval()))
	}
	s.setEvidenceTimer(next)
}

// report hands a report to the service's coordinator. It is lost when no owner
// of the slot is known; local avoidance remains.
func (s *State) report(id model.ServiceID, e message.Evidence) {
	slot, ok := s.healthSlot(id)
	if !ok {
		return
	}
	e.Slot = slot
	e.Service = id
	e.Domain = s.domain
	owner, ok := s.coordinatorHost(slot)
	switch {
	case !ok:
	case owner.ID == s.self.ID:
		s.onEvidence(s.self, e)
	default:
		s.send(owner.ID, e)
	}
}

// healthSlot returns the slot whose owner coordinates a service.
func (s *State) healthSlot(id model.ServiceID) (model.SlotID, bool) {
	if len(s.servers.slots) == 0 {
		return model.SlotID{}, false
	}
	n := placement.Hash(string(id), 0) % uint64(len(s.servers.slots))
	return s.servers.slots[n], true
}

// healthPool returns a service's servers as the floor counts them.
func (s *State) healthPool(id model.ServiceID) health.Pool {
	service := s.snapshot.Services[id]
	return health.Pool{
		Members: s.servers.members[id],
		IsImpaired: func(server model.ServerID) bool {
			roster := s.servers.roster
			return roster.IsLeaving(server) || roster.IsCold(s.now, server, service.ColdRamp)
		},
		Floor:   service.Floor,
		Hosts:   max(s.servers.users, 1),
		Domains: len(s.snapshot.Domains),
	}
}
