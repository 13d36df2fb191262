package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

func (s *State) onEvidence(model.HostRef, message.Evidence)       {}
func (s *State) onEjectionSet(model.HostRef, message.EjectionSet) {}

// observe takes the result of an attempt as evidence and gives the place back
// unless the answer still streams.
func (s *State) observe(r *request, result model.AttemptResult) {
	s.takeLoad(r, result)
	if result.Draining {
		s.serverDrains(r.server)
	}
	if !result.Streaming {
		s.unplace(r)
	}
}

// takeLoad notes the load that the server reported.
func (s *State) takeLoad(r *request, result model.AttemptResult) {
	pool := s.pool(r.route.Service)
	if pool == nil {
		return
	}
	pool.Report(s.now, r.server, result.InFlight, result.Slots)
	if result.Shed {
		pool.Shed(s.now, r.server)
	}
}

// streamEnded takes the end of a streamed answer as evidence.
func (s *State) streamEnded(r *request, serverFailed bool) {}
