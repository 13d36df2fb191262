package decision

import (
	"maps"
	"slices"

	"pollensail.dev/decision/broadcast"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/health"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// serverState is the health and the use of backend servers.
type serverState struct {
	roster *placement.Roster
	pools  map[model.ServiceID]*placement.Pool
	// built is the snapshot from which the pools were built, slots its slots.
	built *configuration.Snapshot
	slots []model.SlotID
	// slotsChanged is true once the slots differ from those at the start.
	slotsChanged bool
	// list is the newest host list. An equal one is not taken again, because
	// computing all subsets takes milliseconds in a large fleet.
	list []model.HostEntry
	// told is the list as the platform told it last, without absent servers.
	told   []model.HostEntry
	absent absence
	// listed are the servers that the host list adds to services.
	listed map[model.ServiceID][]model.ServerID
	// domains are the failure domains of the listed servers.
	domains map[model.ServerID]model.DomainID
	// members are all servers of each service, leaving ones included, in this
	// host's rendezvous order.
	members map[model.ServiceID][]model.ServerID
	// users counts the entry hosts that are not leaving.
	users int
	// serving are the pools whose queue is being served, so that a request
	// that ends while it is advanced does not start over.
	serving map[model.ServiceID]bool

	// signs spreads what attempts say about servers.
	signs        *broadcast.State
	monitors     map[model.ServiceID]*health.Monitor
	evidenceAt   model.Instant // time of the evidence timer
	coordinators map[model.ServiceID]*health.Coordinator
	sets         *health.Sets
	// inForce are the published sets as far as the floor allows here.
	inForce map[model.ServiceID]ejections
	// ownership replaces the slot owners of this host's own knowledge in
	// tests; nil otherwise.
	ownership slotOwnership
	// quiet is, for each owned slot, until when sets of a lost coordinator may
	// be in force somewhere.
	quiet map[model.SlotID]model.Instant
}

// ejections are the servers of a service that get no ordinary work.
type ejections struct {
	ejected []model.ServerID
	trial   []model.ServerID
}

func newServerState() serverState {
	return serverState{
		roster:       placement.NewRoster(),
		signs:        broadcast.New(),
		quiet:        make(map[model.SlotID]model.Instant),
		pools:        make(map[model.ServiceID]*placement.Pool),
		listed:       make(map[model.ServiceID][]model.ServerID),
		domains:      make(map[model.ServerID]model.DomainID),
		members:      make(map[model.ServiceID][]model.ServerID),
		serving:      make(map[model.ServiceID]bool),
		monitors:     make(map[model.ServiceID]*health.Monitor),
		evidenceAt:   model.Never,
		coordinators: make(map[model.ServiceID]*health.Coordinator),
		sets:         health.NewSets(),
		inForce:      make(map[model.ServiceID]ejections),
	}
}

// The deadlines of this concern, as ids of timerServers.
const (
	serversTimerRoster      uint64 = iota // a leaving server is forgotten
	serversTimerEvidence                  // reports to coordinators are due
	serversTimerCoordinator               // a coordinator has something to do
	serversTimerSets                      // an ejection set expires
	serversTimerAbsent                    // servers that did not come back are gone
)

func (s *State) onServersTimer(id uint64) {
	switch id {
	case serversTimerRoster:
		s.expireLeaving()
	case serversTimerEvidence:
		s.sendEvidence()
	case serversTimerCoordinator:
		s.runCoordinators()
	case serversTimerAbsent:
		s.endAbsence()
	case serversTimerSets:
		s.rebuildPools()
	}
}

func (s *State) startServers() {}

// serversHostsListed takes the members that the host list adds, the servers
// that it says are leaving, and the number of hosts that share the servers.
func (s *State) serversHostsListed(entries []model.HostEntry) {
	s.servers.told = entries
	s.takeList(s.withAbsent(entries))
}

// takeList puts a list into force, unless an equal one is.
func (s *State) takeList(entries []model.HostEntry) {
	if s.servers.list != nil && slices.Equal(entries, s.servers.list) {
		return
	}
	s.servers.list = slices.Clone(entries)
	clear(s.servers.listed)
	clear(s.servers.domains)
	s.servers.users = 0
	for _, e := range entries {
		switch e.Role {
		case model.RoleBackend:
			id := model.ServerID(e.ID)
			s.servers.listed[e.Service] = append(s.servers.listed[e.Service], id)
			s.servers.domains[id] = e.Domain
		case model.RoleEntry:
			if !e.Leaving {
				s.servers.users++
			}
		}
	}
	s.servers.signs.SetHosts(s.self.ID, s.domain, entries)
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
	s.servers.slotsChanged = s.servers.slotsChanged ||
		s.servers.built != nil && !slices.Equal(s.servers.slots, s.snapshot.Slots())
	s.servers.built = s.snapshot
	s.servers.slots = s.snapshot.Slots()
	var servers []model.ServerID
	for _, service := range s.snapshot.Services {
		servers = append(servers, service.Servers...)
	}
	s.servers.roster.Configured(s.now, servers)
	s.rebuildPools()
}

// pool returns the host's use of a service, nil for an unknown one.
func (s *State) pool(id model.ServiceID) *placement.Pool {
	if s.snapshot == nil {
		return nil
	}
	if s.servers.built != s.snapshot {
		s.serversConfigured()
	}
	if _, ok := s.snapshot.Services[id]; !ok {
		return nil
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
	s.setSetsTimer()
}

// rebuildPool computes the host's subset of a service: the first servers in
// its rendezvous order that are neither leaving nor ejected.
func (s *State) rebuildPool(service *configuration.Service) {
	pool, ok := s.servers.pools[service.ID]
	if !ok {
		pool = placement.NewPool()
		s.servers.pools[service.ID] = pool
	}
	listed := s.servers.listed[service.ID]
	s.servers.members[service.ID] = placement.Rank(s.self.ID, slices.Concat(service.Servers, listed))
	s.limitEjections(service)
	usable := s.usable(service)
	hosts := max(s.servers.users, 1)
	size := placement.SubsetSize(hosts, len(usable), service.Connections)
	limits := placement.Limits{
		Slots:       service.Slots,
		Connections: placement.ConnectionShare(hosts, len(usable), size, service.Connections),
		Concurrency: service.Concurrency,
		Queue:       service.Queue,
		ColdRamp:    service.ColdRamp,
		Retries: placement.RetryLimits{
			Share:  service.RetryShare,
			Extra:  float64(service.RetryExtra) / float64(hosts),
			Window: service.RetryWindow,
		},
	}
	pool.Configure(s.now, limits, usable[:size])
	s.serveQueue(service.ID)
}

// closePool ends the use of a service that the configuration no longer has.
func (s *State) closePool(id model.ServiceID) {
	pool := s.servers.pools[id]
	pool.Configure(s.now, placement.Limits{}, nil)
	s.serveQueue(id)
	delete(s.servers.members, id)
	delete(s.servers.inForce, id)
	delete(s.servers.monitors, id)
	delete(s.servers.coordinators, id)
	if pool.InFlight() == 0 {
		delete(s.servers.pools, id)
	}
}

// usable returns the servers that may get ordinary work, in this host's order.
func (s *State) usable(service *configuration.Service) []placement.Member {
	out := s.servers.inForce[service.ID]
	var usable []placement.Member
	for _, id := range s.servers.members[service.ID] {
		if s.servers.roster.IsLeaving(id) || slices.Contains(out.ejected, id) {
			continue
		}
		usable = append(usable, placement.Member{
			ID:        id,
			ColdSince: s.servers.roster.ColdSince(id),
			ColdFor:   s.servers.roster.ColdFor(id),
			Slots:     s.servers.roster.Slots(id),
			Trial:     slices.Contains(out.trial, id),
			IsNear:    s.servers.domains[id] == s.domain,
		})
	}
	return usable
}

// slotOwnership says who owns slots.
type slotOwnership interface {
	slotOwner(model.SlotID) (model.HostRef, bool)
	ownsSlot(model.SlotID) (term uint64, ok bool)
}

// coordinatorHost returns the host that coordinates the services of a slot.
func (s *State) coordinatorHost(slot model.SlotID) (model.HostRef, bool) {
	if s.servers.ownership != nil {
		return s.servers.ownership.slotOwner(slot)
	}
	return s.slotOwner(slot)
}

// coordinatorTerm reports whether this host coordinates the services of a slot
// now, and for which term.
func (s *State) coordinatorTerm(slot model.SlotID) (term uint64, ok bool) {
	if s.servers.ownership != nil {
		return s.servers.ownership.ownsSlot(slot)
	}
	owned, ok := s.slotOwned(slot)
	return owned.Term, ok
}
