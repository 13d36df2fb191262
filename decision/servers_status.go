package decision

import (
	"cmp"
	"maps"
	"slices"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// addServersStatus adds the servers that are not in normal use to the status.
func (s *State) addServersStatus(status *effect.Status) {
	if s.snapshot == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.snapshot.Services)) {
		service := s.snapshot.Services[id]
		s.addBalanceStatus(status, id)
		for _, server := range slices.Sorted(slices.Values(s.servers.rankedServers[id])) {
			if state := s.serverCondition(service, server); state != "" {
				status.Servers = append(status.Servers, effect.ServerStatus{
					Service: id,
					Server:  server,
					State:   state,
					Detail:  s.serverDetail(id, server, state),
				})
			}
		}
	}
}

// serverCondition returns what keeps a server from normal use, empty for
// nothing.
func (s *State) serverCondition(service *configuration.Service, id model.ServerID) string {
	applied := s.servers.appliedEjections[service.ID]
	switch {
	case s.servers.roster.IsLeaving(id):
		return "leaving"
	case s.isEvacuated(id):
		return "evacuated"
	case s.isPaused(service.ID, id):
		return "paused at its own request"
	case s.servers.roster.IsCold(s.now, id, service.SlowStart):
		return stateCold
	case slices.Contains(applied.ejected, id):
		return "ejected"
	case slices.Contains(applied.trial, id):
		return "in trial"
	case s.isAvoided(service.ID, id):
		return "avoided by this host"
	}
	return cmp.Or(s.suspicionCondition(service.ID, id), s.regionCondition(id))
}

// suspicionCondition returns why this host's estimate keeps a server from
// normal use, empty for nothing.
func (s *State) suspicionCondition(service model.ServiceID, id model.ServerID) string {
	pool := s.servers.pools[service]
	if pool == nil {
		return ""
	}
	switch pool.Suspicion(s.now, id) {
	case placement.ServerSuspected:
		return "suspected"
	case placement.RemoteSuspected:
		return "suspected by other hosts"
	case placement.PathSuspected:
		return "path suspected"
	default:
		return ""
	}
}

func (s *State) isPaused(service model.ServiceID, id model.ServerID) bool {
	pool := s.servers.pools[service]
	return pool != nil && pool.IsPaused(s.now, id)
}

func (s *State) isAvoided(service model.ServiceID, id model.ServerID) bool {
	monitor, ok := s.servers.monitors[service]
	return ok && s.now < monitor.AvoidUntil(id)
}
