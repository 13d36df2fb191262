package decision

import (
	"maps"
	"slices"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
)

// serversStatus adds the servers that are not in normal use to the status.
func (s *State) serversStatus(status *effect.Status) {
	if s.snapshot == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.snapshot.Services)) {
		service := s.snapshot.Services[id]
		for _, server := range slices.Sorted(slices.Values(s.servers.members[id])) {
			if state := s.serverUse(service, server); state != "" {
				status.Servers = append(status.Servers, effect.ServerStatus{
					Service: id,
					Server:  server,
					State:   state,
				})
			}
		}
	}
}

// serverUse returns what keeps a server from normal use, empty for nothing.
func (s *State) serverUse(service *configuration.Service, id model.ServerID) string {
	out := s.servers.inForce[service.ID]
	switch {
	case s.servers.roster.IsLeaving(id):
		return "leaving"
	case s.servers.roster.IsCold(s.now, id, service.ColdRamp):
		return "cold"
	case slices.Contains(out.ejected, id):
		return "ejected"
	case slices.Contains(out.trial, id):
		return "in trial"
	case s.isAvoided(service.ID, id):
		return "avoided by this host"
	}
	return ""
}

func (s *State) isAvoided(service model.ServiceID, id model.ServerID) bool {
	monitor, ok := s.servers.monitors[service]
	return ok && s.now < monitor.AvoidUntil(id)
}
