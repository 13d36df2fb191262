package decision

import (
	"fmt"
	"maps"
	"slices"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// evacuationState is the newest known set of evacuated failure domains. It is kept
// apart from the host list and the configuration, so that an older one of these does
// not bring servers back.
type evacuationState struct {
	set model.Evacuation
	// servers are the servers of these domains, with their domain. They stay here until
	// the end, so that an older list without one, which the configuration names too,
	// does not bring it back.
	servers map[model.ServerID]model.DomainID
	// since is when this host applied each of the domains.
	since map[model.DomainID]model.WallTime
	// reported holds the domains of the set that a notice has named, and whether they
	// were known then.
	reported map[model.DomainID]bool
}

func newEvacuationState() evacuationState {
	return evacuationState{
		servers:  make(map[model.ServerID]model.DomainID),
		since:    make(map[model.DomainID]model.WallTime),
		reported: make(map[model.DomainID]bool),
	}
}

// onEvacuationRead handles the set that came with an answer of the store, and tells
// the other hosts if it changes the domains. They know the set that a new process
// finds in its first answer.
func (s *State) onEvacuationRead(read model.Evacuation) {
	isFirst := s.evacuation.set.Revision == 0
	if s.applyEvacuation(read) && !isFirst {
		s.broadcastEvacuation()
	}
}

// broadcastEvacuation tells all hosts of the set. Heartbeats make up for notices
// that are lost.
func (s *State) broadcastEvacuation() {
	m := message.EvacuationNotice{
		Origin:     s.self,
		Sequence:   s.servers.signalBroadcast.NextSequence(),
		Evacuation: s.evacuation.set,
	}
	s.sendInDomain(m)
	m.IsRelayed = true
	for _, relay := range s.servers.signalBroadcast.Relays(s.now, s.rand, s.isHostAlive) {
		s.send(relay, m)
	}
}

// onEvacuationNotice handles a set that another host broadcasts, and forwards it in
// this failure domain if this host is a relay for it.
func (s *State) onEvacuationNotice(m message.EvacuationNotice) {
	if m.Origin.ID == s.self.ID || !s.servers.signalBroadcast.Accept(m.Origin, m.Sequence) {
		return
	}
	if m.IsRelayed {
		m.IsRelayed = false
		s.sendInDomain(m)
	}
	s.applyEvacuation(m.Evacuation)
}

// applyEvacuation applies a set if it is newer than the known one. It reports
// whether the domains changed.
func (s *State) applyEvacuation(set model.Evacuation) bool {
	e := &s.evacuation
	if set.Revision <= e.set.Revision {
		return false
	}
	before := e.set
	e.set = set
	if slices.Equal(set.Domains, before.Domains) {
		return false
	}
	for _, id := range before.Domains {
		if !set.Has(id) {
			s.endEvacuation(id)
		}
	}
	for _, id := range set.Domains {
		if !before.Has(id) {
			e.since[id] = s.wall
		}
	}
	s.addEvacuatedServers()
	s.rebuildPools()
	s.withdrawUnsent()
	s.refuseWithoutServer()
	s.reportEvacuations()
	return true
}

// addEvacuatedServers adds the listed servers of evacuated domains, and closes the
// idle connections to those that are new. The caller rebuilds the pools.
func (s *State) addEvacuatedServers() {
	e := &s.evacuation
	if len(e.set.Domains) == 0 {
		return
	}
	var added []model.ServerID
	for server, domain := range s.servers.serverDomains {
		_, isKnown := e.servers[server]
		switch {
		case domain == "" || !e.set.Has(domain):
			delete(e.servers, server)
		case !isKnown:
			added = append(added, server)
			fallthrough
		default:
			e.servers[server] = domain
		}
	}
	slices.Sort(added)
	for _, server := range added {
		s.emit(effect.CloseIdle{Server: server})
	}
}

// endEvacuation makes the servers of a domain cold, because some of them may be, and
// all of them at once would get their full share otherwise. The caller rebuilds the
// pools.
func (s *State) endEvacuation(id model.DomainID) {
	if s.evacuation.reported[id] {
		s.emitNotice(effect.NoticeEvacuationEnded, s.describeEvacuation(id))
	}
	delete(s.evacuation.since, id)
	delete(s.evacuation.reported, id)
	for server, domain := range s.evacuation.servers {
		if domain == id {
			s.servers.roster.MarkCold(s.now, server)
			delete(s.evacuation.servers, server)
		}
	}
}

func (s *State) describeEvacuation(id model.DomainID) string {
	return fmt.Sprintf("%q, revision %d", string(id), s.evacuation.set.Revision)
}

// isEvacuated reports whether nothing may be sent to a server. The domain of a server
// that was never listed is unknown, so it stays in use.
func (s *State) isEvacuated(id model.ServerID) bool {
	_, ok := s.evacuation.servers[id]
	return ok
}

// withdrawUnsent ends the attempts at evacuated servers of which no byte was written.
// Their requests are then placed again.
func (s *State) withdrawUnsent() {
	if len(s.evacuation.set.Domains) == 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[id]
		for _, a := range r.hedged {
			s.withdrawIfUnsent(r, a)
		}
		s.withdrawIfUnsent(r, r.attempt)
	}
}

func (s *State) withdrawIfUnsent(r *request, a attempt) {
	if a.isRunning && s.isEvacuated(a.server) {
		s.emit(effect.WithdrawUnsent{Request: r.Request, Attempt: a.number})
	}
}

// refuseWithoutServer refuses the queued requests of services that have no usable
// server left. Otherwise they would wait while running attempts fill the bulkhead.
func (s *State) refuseWithoutServer() {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		r, ok := s.requests[id]
		if !ok || !r.isQueued {
			continue
		}
		if pool := s.pool(r.service); pool != nil && pool.IsEmpty(s.allowedRegions(r)) {
			s.releasePlacement(r)
			s.endUnserved(r, model.ReasonNoServer, 0)
		}
	}
}

// floorOfUsable returns the share of the usable servers that stays in use although
// they are suspected. Evacuated servers count as unavailable, so more of the others
// stay in use for the same share of all servers.
func (s *State) floorOfUsable(service *configuration.Service, usable []placement.Member) float64 {
	evacuated := 0
	for _, id := range s.servers.rankedServers[service.ID] {
		if s.isEvacuated(id) {
			evacuated++
		}
	}
	if evacuated == 0 || len(usable) == 0 {
		return service.Floor
	}
	return min(service.Floor*float64(len(usable)+evacuated)/float64(len(usable)), 1)
}

// reportEvacuations reports each evacuated domain once while it is in the set, and
// again if it was unknown and no longer is. It waits for a configuration and a host
// list, without which no domain is known.
func (s *State) reportEvacuations() {
	if s.snapshot == nil || s.servers.appliedList == nil {
		return
	}
	e := &s.evacuation
	for _, id := range e.set.Domains {
		wasKnown, isReported := e.reported[id]
		isKnown := s.isKnownDomain(id)
		switch {
		case isKnown && !wasKnown:
			e.reported[id] = true
			s.emitNotice(effect.NoticeEvacuated, s.describeEvacuation(id))
		case !isKnown && !isReported:
			e.reported[id] = false
			s.emitNotice(effect.NoticeUnknownEvacuation, s.describeEvacuation(id))
		}
	}
}

// isKnownDomain reports whether the configuration names a failure domain or a listed
// host or server is in it.
func (s *State) isKnownDomain(id model.DomainID) bool {
	if id == "" {
		return false
	}
	isIn := func(e model.HostEntry) bool { return e.Domain == id }
	return s.snapshot != nil && slices.Contains(s.snapshot.Domains, id) || slices.ContainsFunc(s.servers.appliedList, isIn)
}

// evacuationStatus returns the set for operators.
func (s *State) evacuationStatus() effect.EvacuationStatus {
	status := effect.EvacuationStatus{Revision: s.evacuation.set.Revision}
	for _, id := range s.evacuation.set.Domains {
		status.Domains = append(status.Domains, effect.EvacuatedDomain{
			Domain:  id,
			Since:   s.evacuation.since[id],
			IsKnown: s.isKnownDomain(id),
		})
	}
	return status
}
