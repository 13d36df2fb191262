package decision

import (
	"maps"
	"slices"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// serverState is the health and the use of backend servers.
type serverState struct {
	roster *placement.Roster
	pools  map[model.ServiceID]*placement.Pool
	// built is the snapshot from which the pools were built.
	built *configuration.Snapshot
	// listed are the servers that the host list adds to services.
	listed map[model.ServiceID][]model.ServerID
	// entries are the listed entry hosts that are not leaving.
	entries []model.HostID
	// serving are the pools whose queue is being served, so that a request
	// that ends while it is advanced does not start over.
	serving map[model.ServiceID]bool
}

func newServerState() serverState {
	return serverState{
		roster:  placement.NewRoster(),
		pools:   make(map[model.ServiceID]*placement.Pool),
		listed:  make(map[model.ServiceID][]model.ServerID),
		serving: make(map[model.ServiceID]bool),
	}
}

// The deadlines of this concern, as ids of timerServers.
const (
	serversTimerRoster uint64 = iota // a leaving server is forgotten
)

func (s *State) onServersTimer(id uint64) {
	switch id {
	case serversTimerRoster:
		s.expireLeaving()
	}
}

func (s *State) startServers() {}

// serversHostsListed takes the members that the host list adds, the servers
// that it says are leaving, and the number of hosts that share the servers.
func (s *State) serversHostsListed(entries []model.HostEntry) {
	clear(s.servers.listed)
	s.servers.entries = s.servers.entries[:0]
	for _, e := range entries {
		switch e.Role {
		case model.RoleBackend:
			s.servers.listed[e.Service] = append(s.servers.listed[e.Service], model.ServerID(e.ID))
		case model.RoleEntry:
			if !e.Leaving {
				s.servers.entries = append(s.servers.entries, model.HostID(e.ID))
			}
		}
	}
	for _, id := range s.servers.roster.Listed(s.now, entries) {
		s.noticeLeaving(id, "the host list")
	}
	s.rebuildPools()
}

// serversConfigured takes the services of a new configuration in force.
func (s *State) serversConfigured() {
	if s.snapshot == nil {
		return
	}
	s.servers.built = s.snapshot
	var servers []model.ServerID
	for _, service := range s.snapshot.Services {
		servers = append(servers, service.Servers...)
	}
	s.servers.roster.Configured(s.now, servers)
	s.rebuildPools()
}

// pool returns the host's use of a service, nil for an unknown one.
func (s *State) pool(id model.ServiceID) *placement.Pool {
	if s.servers.built != s.snapshot {
		s.serversConfigured()
	}
	return s.servers.pools[id]
}

// rebuildPools computes every subset anew. Services are taken in order, so
// that the same events give the same effects.
func (s *State) rebuildPools() {
	if s.snapshot == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(s.snapshot.Services)) {
		s.rebuildPool(s.snapshot.Services[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.servers.pools)) {
		if _, ok := s.snapshot.Services[id]; !ok {
			s.closePool(id)
		}
	}
	s.setRosterTimer()
}

// rebuildPool computes the host's subset of a service: the first servers in
// its rendezvous order that are neither leaving nor ejected.
func (s *State) rebuildPool(service *configuration.Service) {
	pool, ok := s.servers.pools[service.ID]
	if !ok {
		pool = placement.NewPool()
		s.servers.pools[service.ID] = pool
	}
	usable := s.usable(service)
	hosts := max(len(s.servers.entries), 1)
	size := placement.SubsetSize(hosts, len(usable), service.Connections)
	limits := placement.Limits{
		Slots:       service.Slots,
		Connections: placement.ConnectionShare(hosts, len(usable), size, service.Connections),
		Concurrency: service.Concurrency,
		Queue:       service.Queue,
		ColdRamp:    service.ColdRamp,
	}
	pool.Configure(limits, usable[:size])
	s.serveQueue(service.ID)
}

// closePool ends the use of a service that the configuration no longer has.
func (s *State) closePool(id model.ServiceID) {
	pool := s.servers.pools[id]
	pool.Configure(placement.Limits{}, nil)
	s.serveQueue(id)
	if pool.InFlight() == 0 {
		delete(s.servers.pools, id)
	}
}

// members returns all servers of a service, leaving ones included, without
// repetitions, in this host's order.
func (s *State) members(service *configuration.Service) []model.ServerID {
	listed := s.servers.listed[service.ID]
	return placement.Rank(s.self.ID, slices.Concat(service.Servers, listed))
}

// usable returns the servers that may get ordinary work, in this host's order.
func (s *State) usable(service *configuration.Service) []placement.Member {
	var usable []placement.Member
	for _, id := range s.members(service) {
		if s.servers.roster.IsLeaving(id) {
			continue
		}
		usable = append(usable, placement.Member{
			ID:        id,
			ColdSince: s.servers.roster.ColdSince(id),
		})
	}
	return usable
}
