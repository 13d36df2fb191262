package decision

import (
	"maps"
	"slices"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/health"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// firstTerm is the term of a slot that had no owner before.
const firstTerm = 1

// onEvidence handles another host's report, or this host's own, if this host
// is the service's coordinator.
func (s *State) onEvidence(from model.HostRef, m message.Evidence) {
	if s.pool(m.Service) == nil {
		return
	}
	slot, ok := s.coordinatorSlot(m.Service)
	if !ok || slot != m.Slot {
		return
	}
	term, ok := s.coordinatorTerm(slot)
	if !ok {
		return
	}
	s.coordinator(m.Service, term).AddReport(s.now, from, m)
	s.setCoordinatorTimer()
}

// coordinator returns the coordinator of a service in a term of this host. A
// coordinator of an earlier term is replaced.
func (s *State) coordinator(id model.ServiceID, term uint64) *health.Coordinator {
	c, ok := s.servers.coordinators[id]
	if ok && c.Term() == term {
		return c
	}
	c = health.NewCoordinator(s.now, term, s.quietUntil(id, term), s.servers.publishedSets.InForce(s.now, id))
	s.servers.coordinators[id] = c
	return c
}

// setCoordinatorTimer sets the timer for the coordinator that is due first. A
// coordinator whose slot this host does not own at present waits for the next
// report.
func (s *State) setCoordinatorTimer() {
	next := model.Never
	for id, c := range s.servers.coordinators {
		if s.isCoordinator(id, c) {
			next = min(next, c.NextDue())
		}
	}
	key := timerKey{timerServers, serversTimerCoordinator}
	if next == model.Never {
		s.timers.Cancel(key)
		return
	}
	s.timers.Set(key, next)
}

// isCoordinator reports whether this host owns the service's slot in the term
// of the coordinator.
func (s *State) isCoordinator(id model.ServiceID, c *health.Coordinator) bool {
	slot, ok := s.coordinatorSlot(id)
	if !ok {
		return false
	}
	term, ok := s.coordinatorTerm(slot)
	return ok && term == c.Term()
}

func (s *State) runCoordinators() {
	for _, id := range slices.Sorted(maps.Keys(s.servers.coordinators)) {
		c := s.servers.coordinators[id]
		if c.NextDue() <= s.now && s.isCoordinator(id, c) {
			s.runCoordinator(id, c)
		}
	}
	s.setCoordinatorTimer()
}

// runCoordinator decides on ejections of a service's servers and publishes the
// set.
func (s *State) runCoordinator(id model.ServiceID, c *health.Coordinator) {
	if s.pool(id) == nil {
		return
	}
	s.emitDecisionNotices(id, c.Decide(s.now, s.healthPool(id)))
	set, ok := c.Publish(s.now)
	if !ok {
		return
	}
	set.Service = id
	set.Slot, _ = s.coordinatorSlot(id)
	for _, peer := range s.config.peers {
		s.send(peer, set)
	}
	s.onEjectionSet(s.self, set)
}

func (s *State) emitDecisionNotices(id model.ServiceID, d health.Decision) {
	for _, server := range d.Ejected {
		s.emitNotice(effect.NoticeEjected, string(id)+" "+string(server))
	}
	for _, server := range d.Readmitted {
		s.emitNotice(effect.NoticeReadmitted, string(id)+" "+string(server))
	}
	if d.AtFloor {
		s.emitNotice(effect.NoticeAtFloor, string(id))
	}
}

// onEjectionSet applies a published set unless a newer one is known.
func (s *State) onEjectionSet(_ model.HostRef, m message.EjectionSet) {
	if s.pool(m.Service) == nil {
		return
	}
	slot, ok := s.coordinatorSlot(m.Service)
	if !ok || slot != m.Slot || !s.servers.publishedSets.Apply(s.now, m) {
		return
	}
	s.rebuildPool(s.snapshot.Services[m.Service])
	s.setEjectionSetsTimer()
}

// applyEjections applies the current set as far as the floor allows at this
// host.
func (s *State) applyEjections(service *configuration.Service) {
	set := s.servers.publishedSets.InForce(s.now, service.ID)
	ejected, trial := s.healthPool(service.ID).CapAtFloor(set)
	s.servers.appliedEjections[service.ID] = ejections{ejected, trial}
}

func (s *State) setEjectionSetsTimer() {
	key := timerKey{timerServers, serversTimerEjectionSets}
	next := s.servers.publishedSets.NextExpiry(s.now)
	if next == model.Never {
		s.timers.Cancel(key)
		return
	}
	s.timers.Set(key, next)
}
