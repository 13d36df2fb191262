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

// serverState holds the health of backend servers and this host's use of them.
type serverState struct {
	roster *placement.Roster
	pools  map[model.ServiceID]*placement.Pool
	// builtFrom is the snapshot from which the pools were built, slots its slots.
	builtFrom *configuration.Snapshot
	slots     []model.SlotID
	// slotsChanged is true once the slots differ from those of the first
	// configuration.
	slotsChanged bool
	// appliedList is the host list in use. An equal one is not applied again,
	// because computing all subsets takes milliseconds in a large fleet.
	appliedList []model.HostEntry
	// receivedList is the last list from the platform, without absent servers.
	receivedList []model.HostEntry
	absent       absentServers
	// listedServers are the servers that the host list adds to services.
	listedServers map[model.ServiceID][]model.ServerID
	// serverDomains are the failure domains of the listed servers.
	serverDomains map[model.ServerID]model.DomainID
	// rankedServers are all servers of each service, including leaving ones, in
	// this host's rendezvous hashing order.
	rankedServers map[model.ServiceID][]model.ServerID
	// activeHosts counts the entry hosts that are not leaving.
	activeHosts int
	// dispatching marks the pools whose queue is being dispatched, so that a
	// request that ends while it is advanced does not start a nested dispatch.
	dispatching map[model.ServiceID]bool

	// signalBroadcast spreads health signals, the evidence of single attempts, to
	// other hosts.
	signalBroadcast *broadcast.State
	monitors        map[model.ServiceID]*health.Monitor
	evidenceTimerAt model.Instant // when the evidence timer fires
	coordinators    map[model.ServiceID]*health.Coordinator
	unservedTimerAt model.Instant // when the timer for reports of unserved requests fires
	// shortageNotices are the last notices that reported a service as short of
	// servers or no longer short.
	shortageNotices map[model.ServiceID]shortageNotice
	publishedSets   *health.EjectionSets
	// appliedEjections are the published sets, limited by the floor (the share of
	// a service's servers that stays in use) as this host sees it.
	appliedEjections map[model.ServiceID]ejections
	// invalidRetryAfter holds the servers that were reported for an invalid
	// Retry-After.
	invalidRetryAfter map[model.ServerID]bool
	// hostSets are the hosts that share the requests to cold servers.
	hostSets *placement.HostSets
	// coldNotices are the last notices on services whose usable servers are all
	// cold.
	coldNotices map[model.ServiceID]coldNotice
	// invalidLoad holds the servers that were reported for an invalid load report.
	invalidLoad map[model.ServerID]bool
	// ownership is set only by tests, and replaces the slot owners that this host
	// knows.
	ownership slotOwnership
	// quietEnds is, for each owned slot, until when ejection sets of a lost
	// coordinator may still be applied somewhere.
	quietEnds map[model.SlotID]model.Instant
}

// ejections are the servers of a service that are ejected or in trial.
type ejections struct {
	ejected []model.ServerID // get no requests
	trial   []model.ServerID // get one request of each host at a time
}

func newServerState() serverState {
	return serverState{
		roster:           placement.NewRoster(),
		signalBroadcast:  broadcast.New(),
		quietEnds:        make(map[model.SlotID]model.Instant),
		pools:            make(map[model.ServiceID]*placement.Pool),
		listedServers:    make(map[model.ServiceID][]model.ServerID),
		serverDomains:    make(map[model.ServerID]model.DomainID),
		rankedServers:    make(map[model.ServiceID][]model.ServerID),
		dispatching:      make(map[model.ServiceID]bool),
		monitors:         make(map[model.ServiceID]*health.Monitor),
		evidenceTimerAt:  model.Never,
		unservedTimerAt:  model.Never,
		coordinators:     make(map[model.ServiceID]*health.Coordinator),
		shortageNotices:  make(map[model.ServiceID]shortageNotice),
		coldNotices:      make(map[model.ServiceID]coldNotice),
		publishedSets:    health.NewEjectionSets(),
		appliedEjections: make(map[model.ServiceID]ejections),

		invalidRetryAfter: make(map[model.ServerID]bool),
		invalidLoad:       make(map[model.ServerID]bool),
	}
}

// IDs of timerServers.
const (
	serversTimerRoster       uint64 = iota // a server's record as leaving expires
	serversTimerEvidence                   // reports to coordinators are due
	serversTimerCoordinator                // a coordinator has a decision or publication due
	serversTimerEjectionSets               // an ejection set expires
	serversTimerAbsent                     // servers that did not reappear are removed
	serversTimerUnserved                   // a report of unserved requests is due
	serversTimerSignals                    // a round of batches of health signals is due
)

func (s *State) onServersTimer(id uint64) {
	switch id {
	case serversTimerRoster:
		s.expireLeaving()
	case serversTimerEvidence:
		s.sendEvidence()
	case serversTimerCoordinator:
		s.runCoordinators()
	case serversTimerUnserved:
		s.sendUnservedReports()
	case serversTimerSignals:
		s.runSignalRound()
	case serversTimerAbsent:
		s.dropAbsentServers()
	case serversTimerEjectionSets:
		s.rebuildPools()
	}
}

func (s *State) startServers() { s.startHostSets() }

// setServerList updates from the host list the members that it adds to
// services, the servers that it marks as leaving, and the number of hosts that
// share the servers.
func (s *State) setServerList(entries []model.HostEntry) {
	s.servers.receivedList = entries
	s.applyServerList(s.withAbsent(entries))
}

// applyServerList applies a list, unless it equals the one in use.
func (s *State) applyServerList(entries []model.HostEntry) {
	if s.servers.appliedList != nil && slices.Equal(entries, s.servers.appliedList) {
		return
	}
	s.servers.appliedList = slices.Clone(entries)
	clear(s.servers.listedServers)
	clear(s.servers.serverDomains)
	s.servers.activeHosts = 0
	for _, e := range entries {
		switch e.Role {
		case model.RoleBackend:
			id := model.ServerID(e.ID)
			s.servers.listedServers[e.Service] = append(s.servers.listedServers[e.Service], id)
			s.servers.serverDomains[id] = e.Domain
		case model.RoleEntry:
			if !e.Leaving {
				s.servers.activeHosts++
			}
		}
	}
	s.servers.signalBroadcast.SetHosts(s.self.ID, s.domain, entries)
	s.setHostSets(entries)
	for _, id := range s.servers.roster.ApplyHostList(s.now, entries) {
		s.noteLeaving(id, "the host list")
	}
	s.addEvacuatedServers()
	s.rebuildPools()
	s.reportEvacuations()
}

// applyServerConfig applies the services of a new active configuration.
func (s *State) applyServerConfig() {
	if s.snapshot == nil {
		return
	}
	s.servers.slotsChanged = s.servers.slotsChanged ||
		s.servers.builtFrom != nil && !slices.Equal(s.servers.slots, s.snapshot.Slots())
	s.servers.builtFrom = s.snapshot
	s.servers.slots = s.snapshot.Slots()
	s.updateQueuedRegions()
	s.servers.hostSets.SetSettle(s.listSettleTime())
	var servers []model.ServerID
	for _, service := range s.snapshot.Services {
		servers = append(servers, service.Servers...)
	}
	s.servers.roster.ApplyConfiguration(s.now, servers)
	s.rebuildPools()
	s.reportEvacuations()
}

// pool returns this host's pool for a service, nil for an unknown one.
func (s *State) pool(id model.ServiceID) *placement.Pool {
	if s.snapshot == nil {
		return nil
	}
	if s.servers.builtFrom != s.snapshot {
		s.applyServerConfig()
	}
	if _, ok := s.snapshot.Services[id]; !ok {
		return nil
	}
	return s.servers.pools[id]
}

// rebuildPools recomputes every subset. Services are processed in sorted
// order, so that the same events give the same effects.
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
	s.setEjectionSetsTimer()
}

// rebuildPool computes this host's subset of a service: the first servers in
// its rendezvous hashing order that are neither leaving nor ejected.
func (s *State) rebuildPool(service *configuration.Service) {
	pool, ok := s.servers.pools[service.ID]
	if !ok {
		pool = placement.NewPool()
		s.servers.pools[service.ID] = pool
	}
	listed := s.servers.listedServers[service.ID]
	s.servers.rankedServers[service.ID] = placement.Rank(s.self.ID, slices.Concat(service.Servers, listed))
	s.applyEjections(service)
	usable := s.usableServers(service)
	hosts := max(s.servers.activeHosts, 1)
	subset := s.subset(service, usable, hosts)
	limits := placement.Limits{
		Hosts:       hosts,
		Floor:       s.floorOfUsable(service, usable),
		Slots:       service.ServerConcurrency,
		Connections: placement.ConnectionShare(hosts, len(usable), len(subset), service.Connections),
		Concurrency: service.Concurrency,
		Queue:       service.Queue,
		ColdRamp:    service.SlowStart,
		Retries: placement.RetryLimits{
			Share:  service.RetryShare,
			Extra:  float64(service.RetryExtra) / float64(hosts),
			Window: service.RetryWindow,
		},
		Cold:          coldLimit(service),
		HostSets:      s.servers.hostSets,
		EstimatesLoad: service.EstimatesLoad,
	}
	pool.Configure(s.now, limits, subset)
	s.refuseUnservable(pool)
	s.dispatchQueue(service.ID)
}

// closePool ends the use of a service that is no longer configured. A pool
// with requests in flight stays until a later rebuild.
func (s *State) closePool(id model.ServiceID) {
	pool := s.servers.pools[id]
	pool.Configure(s.now, placement.Limits{}, nil)
	s.dispatchQueue(id)
	delete(s.servers.rankedServers, id)
	delete(s.servers.appliedEjections, id)
	delete(s.servers.monitors, id)
	delete(s.servers.shortageNotices, id)
	delete(s.servers.coldNotices, id)
	delete(s.servers.coordinators, id)
	if pool.InFlight() == 0 {
		delete(s.servers.pools, id)
	}
}

// usableServers returns the servers that may get requests, including those in
// trial, in this host's rendezvous hashing order.
func (s *State) usableServers(service *configuration.Service) []placement.Member {
	applied := s.servers.appliedEjections[service.ID]
	var usable []placement.Member
	for _, id := range s.servers.rankedServers[service.ID] {
		if s.servers.roster.IsLeaving(id) || s.isEvacuated(id) || slices.Contains(applied.ejected, id) {
			continue
		}
		usable = append(usable, placement.Member{
			ID:        id,
			ColdSince: s.servers.roster.ColdSince(id),
			ColdFor:   s.servers.roster.ColdFor(id),
			Slots:     s.servers.roster.Slots(id),
			Start:     s.servers.roster.Start(id),
			Trial:     slices.Contains(applied.trial, id),
			Region:    s.regionOf(id),
			IsNear:    s.servers.serverDomains[id] == s.domain,
		})
	}
	return usable
}

// slotOwnership tells who owns slots.
type slotOwnership interface {
	slotOwner(model.SlotID) (model.HostRef, bool)
	ownsSlot(model.SlotID) (term uint64, ok bool)
}

// coordinatorHost returns the host that coordinates ejections for the services
// of a slot.
func (s *State) coordinatorHost(slot model.SlotID) (model.HostRef, bool) {
	if s.servers.ownership != nil {
		return s.servers.ownership.slotOwner(slot)
	}
	return s.slotOwner(slot)
}

// coordinatorTerm reports whether this host now coordinates the services of a
// slot, and in which term.
func (s *State) coordinatorTerm(slot model.SlotID) (term uint64, ok bool) {
	if s.servers.ownership != nil {
		return s.servers.ownership.ownsSlot(slot)
	}
	owned, ok := s.ownedSlot(slot)
	return owned.Term, ok
}
