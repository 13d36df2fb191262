package decision

import (
	"slices"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// A route and a client account may name the regions whose servers their requests may
// be sent to. Both restrictions apply. They are taken from the configuration in force
// whenever a server is chosen, so a new version applies to queued and retried
// requests too.

// allowedRegions returns the regions whose servers the request may be sent to: nil if
// it is not restricted, empty if its route and its account have no region in common.
func (s *State) allowedRegions(r *request) []model.RegionID {
	if !s.snapshot.RestrictsRegions() {
		return nil
	}
	return s.commonRegions(r)
}

// commonRegions returns the regions that both the route and the account of a request
// allow, where the configuration restricts any.
func (s *State) commonRegions(r *request) []model.RegionID {
	byRoute := s.routeInForce(r).AllowedRegions
	var byAccount []model.RegionID
	if account, ok := s.snapshot.Accounts[r.account]; ok {
		byAccount = account.AllowedRegions
	}
	switch {
	case len(byRoute) == 0 && len(byAccount) == 0:
		return nil
	case len(byAccount) == 0:
		return byRoute
	case len(byRoute) == 0:
		return byAccount
	}
	common := []model.RegionID{}
	for _, region := range byRoute {
		if slices.Contains(byAccount, region) {
			common = append(common, region)
		}
	}
	return common
}

// routeInForce returns the request's route in the configuration in force, or as it
// was when the request arrived if it has been removed or is unusable.
func (s *State) routeInForce(r *request) *configuration.Route {
	route, ok := s.snapshot.Routes[r.route.ID]
	if !ok || route.Unusable {
		return r.route
	}
	return route
}

// regionOf returns the region of a server, empty if it is unknown.
func (s *State) regionOf(id model.ServerID) model.RegionID {
	domain, ok := s.servers.serverDomains[id]
	if !ok {
		return ""
	}
	return s.snapshot.Regions[domain]
}

// mayBeSentTo reports whether the request's regions allow the server.
func (s *State) mayBeSentTo(r *request, server model.ServerID) bool {
	regions := s.allowedRegions(r)
	if regions == nil {
		return true
	}
	region := s.regionOf(server)
	return region != "" && slices.Contains(regions, region)
}

// moveToAllowed places a request again whose server is no longer allowed. Since the
// server was chosen, the request has waited for a token, its key has moved to another
// account, or the configuration or the host list has changed. Pools are rebuilt one
// after another, and the request may advance before its pool is: without the present
// regions, the same server could be chosen again without end.
func (s *State) moveToAllowed(r *request) {
	s.releasePlacement(r)
	if pool := s.pool(r.service); pool != nil {
		pool.SetRegions(s.regionOf)
	}
	r.stage = stagePlace
	s.advance(r)
}

// hasOtherServer reports whether a further attempt of the request may be sent to a
// server that is not in tried.
func (s *State) hasOtherServer(r *request, pool *placement.Pool, tried []model.ServerID) bool {
	regions := s.allowedRegions(r)
	return pool.HasUntried(tried, regions) && pool.PausedFor(s.now, regions) == 0
}

// subset returns the servers of a service that this host uses. usable is in
// rendezvous hashing order.
func (s *State) subset(service *configuration.Service, usable []placement.Member, hosts int) []placement.Member {
	if s.snapshot.RestrictsRegions() {
		return placement.RegionalSubset(hosts, service.Connections, usable)
	}
	return usable[:placement.SubsetSize(hosts, len(usable), service.Connections)]
}

// updateQueuedRegions applies the regions of a new configuration to the queued
// requests.
func (s *State) updateQueuedRegions() {
	for _, pool := range s.servers.pools {
		pool.SetQueuedRegions(func(id model.RequestID) []model.RegionID {
			if r, ok := s.requests[id]; ok {
				return s.allowedRegions(r)
			}
			return nil
		})
	}
}

// refuseUnservable refuses the queued requests of a pool whose regions have no server
// left. They do not wait for capacity that they could not use.
func (s *State) refuseUnservable(pool *placement.Pool) {
	for {
		w, ok := pool.DequeueUnservable()
		if !ok {
			return
		}
		s.resumeQueued(w.Request, "")
	}
}

// regionCondition returns what keeps a server from requests that are restricted to
// regions, empty for nothing.
func (s *State) regionCondition(id model.ServerID) string {
	if s.snapshot.RestrictsRegions() && s.regionOf(id) == "" {
		return "region unknown"
	}
	return ""
}
