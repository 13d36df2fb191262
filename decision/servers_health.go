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
	// minRateReportInterval is the shortest time between reports that tell only a
	// host's request rate.
	minRateReportInterval = 5 * time.Second
	// rateReportSpacing bounds these reports to two a second for a host that uses
	// many services.
	rateReportSpacing = 500 * time.Millisecond
)

// recordAttempt records the result of an attempt as load and health evidence,
// and releases the server unless the answer is still streaming.
func (s *State) recordAttempt(r *request, a *attempt, result model.AttemptResult) {
	s.recordServerLoad(r, a, result)
	s.recordAnswerTime(r, a, result)
	if result.Draining || result.WrongServer {
		s.onServerDraining(a)
	}
	if result.Streaming {
		streamed := result
		r.streamedResult = &streamed
		return
	}
	s.recordHealthEvidence(r, a, result)
	s.releaseServer(r, a)
}

// recordStreamEnd records the end of a streamed answer as health evidence.
func (s *State) recordStreamEnd(r *request, serverFailed bool) {
	if r.streamedResult == nil {
		return
	}
	result := *r.streamedResult
	r.streamedResult = nil
	if serverFailed {
		result.Reason = model.ReasonServerFailed
	}
	s.recordHealthEvidence(r, &r.attempt, result)
}

// recordServerLoad records the load that the server reported.
func (s *State) recordServerLoad(r *request, a *attempt, result model.AttemptResult) {
	pool := s.pool(r.service)
	if pool == nil {
		return
	}
	s.recordLoadReport(r.service, a, pool, result)
	if result.Shed {
		pool.RecordShed(s.now, a.server)
	}
	s.recordPause(r.service, a.server, result)
}

// recordHealthEvidence records an attempt with the service's failure
// detection, and avoids the server locally if the path to it seems faulty.
func (s *State) recordHealthEvidence(r *request, a *attempt, result model.AttemptResult) {
	service := r.service
	pool := s.pool(service)
	if pool == nil {
		return
	}
	if s.sharesDetection(service) {
		s.recordSignal(r, a, pool, a.signal(result))
		return
	}
	monitor := s.monitor(service)
	monitor.Observe(s.now, health.Attempt{
		Server:  a.server,
		Class:   r.route.Class,
		Result:  result,
		InTrial: slices.Contains(s.servers.appliedEjections[service].trial, a.server),
		Loaded:  pool.IsSaturated(s.now),
	})
	pool.Avoid(a.server, monitor.AvoidUntil(a.server))
	s.setEvidenceTimer(monitor.NextReportDue(s.rateReportInterval()))
}

func (s *State) monitor(id model.ServiceID) *health.Monitor {
	m, ok := s.servers.monitors[id]
	if !ok {
		m = health.NewMonitor()
		s.servers.monitors[id] = m
	}
	return m
}

func (s *State) rateReportInterval() time.Duration {
	return max(minRateReportInterval, time.Duration(len(s.servers.monitors))*rateReportSpacing)
}

// setEvidenceTimer makes the next report due at the given time at the latest.
func (s *State) setEvidenceTimer(at model.Instant) {
	if at >= s.servers.evidenceTimerAt {
		return
	}
	s.servers.evidenceTimerAt = at
	s.timers.Set(timerKey{timerServers, serversTimerEvidence}, at)
}

// sendEvidence sends the reports that are due to their coordinators.
func (s *State) sendEvidence() {
	s.servers.evidenceTimerAt = model.Never
	next := model.Never
	for _, id := range slices.Sorted(maps.Keys(s.servers.monitors)) {
		monitor := s.servers.monitors[id]
		if monitor.NextReportDue(s.rateReportInterval()) <= s.now {
			s.sendReport(id, monitor.Report(s.now))
		}
		next = min(next, monitor.NextReportDue(s.rateReportInterval()))
	}
	s.setEvidenceTimer(next)
}

// sendReport sends a report to the service's coordinator. It is dropped if the
// slot's owner is unknown; local avoidance remains.
func (s *State) sendReport(id model.ServiceID, e message.Evidence) {
	slot, ok := s.coordinatorSlot(id)
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

// coordinatorSlot returns the slot whose owner coordinates ejections for a
// service.
func (s *State) coordinatorSlot(id model.ServiceID) (model.SlotID, bool) {
	if len(s.servers.slots) == 0 {
		return model.SlotID{}, false
	}
	n := placement.Hash(string(id), 0) % uint64(len(s.servers.slots))
	return s.servers.slots[n], true
}

// healthPool returns a service's servers as the floor counts them.
func (s *State) healthPool(id model.ServiceID) health.PoolView {
	service := s.snapshot.Services[id]
	return health.PoolView{
		Members: s.servers.rankedServers[id],
		IsImpaired: func(server model.ServerID) bool {
			roster := s.servers.roster
			return roster.IsLeaving(server) || s.isEvacuated(server) || roster.IsCold(s.now, server, service.SlowStart)
		},
		Floor:   service.Floor,
		Hosts:   max(s.servers.activeHosts, 1),
		Domains: len(s.snapshot.Domains),
	}
}
