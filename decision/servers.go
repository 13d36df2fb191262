package decision

import (
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// serverState is the health and the use of backend servers.
type serverState struct{}

func newServerState() serverState { return serverState{} }

func (s *State) startServers()                                    {}
func (s *State) serversHostsListed(entries []model.HostEntry)     {}
func (s *State) serversConfigured()                               {}
func (s *State) onServersTimer(id uint64)                         {}
func (s *State) onEvidence(model.HostRef, message.Evidence)       {}
func (s *State) onEjectionSet(model.HostRef, message.EjectionSet) {}

// place chooses a server for the request or queues it.
func (s *State) place(r *request) step {
	service, ok := s.snapshot.Services[r.route.Service]
	if !ok || len(service.Servers) == 0 {
		s.refuse(r, model.ReasonNoServer, 0)
		return stepDone
	}
	r.server = service.Servers[s.rand.IntN(len(service.Servers))]
	r.placed = true
	return stepNext
}

// unplace gives back the request's place at its server, if it has one.
func (s *State) unplace(r *request) { r.placed = false }

// observe takes the result of an attempt as evidence and gives the place back
// unless the answer still streams.
func (s *State) observe(r *request, result model.AttemptResult) {
	if !result.Streaming {
		s.unplace(r)
	}
}

// streamEnded takes the end of a streamed answer as evidence.
func (s *State) streamEnded(r *request, serverFailed bool) {}

// takeRetry takes one retry from the budget. It reports false when the budget
// is spent or no other server is left.
func (s *State) takeRetry(r *request, result model.AttemptResult) bool { return false }

// leavingServers returns the servers to announce as leaving in heartbeats.
func (s *State) leavingServers() []model.ServerID { return nil }

// leavingHeard is called with the leaving servers of a peer's heartbeat.
func (s *State) leavingHeard(servers []model.ServerID) {}

// serversStatus adds the servers that are not in normal use to the status.
func (s *State) serversStatus(status *effect.Status) {}
