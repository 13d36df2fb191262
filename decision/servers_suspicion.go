package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// sharesDetection reports whether hosts tell each other of single attempts at
// the service's servers.
func (s *State) sharesDetection(id model.ServiceID) bool {
	service, ok := s.snapshot.Services[id]
	return ok && service.SharedDetection
}

// recordSignal records what a request's attempt says about its server, and
// tells other hosts if that may change their estimate, because one host alone
// sees too few attempts at a server.
func (s *State) recordSignal(r *request, a *attempt, pool *placement.Pool, signal model.HealthSignal) {
	isUnserved := r.isLostBy(a, signal)
	r.isCountedUnserved = r.isCountedUnserved || isUnserved
	if !pool.Observe(s.now, a.server, signal, isUnserved) {
		return
	}
	s.servers.signalBroadcast.AddSignal(r.service, a.server, signal, isUnserved)
	s.runSignalRound()
}

// isLostBy reports whether the request fails with the attempt that gave the
// signal, and does so at a server that was in ordinary use.
func (r *request) isLostBy(a *attempt, signal model.HealthSignal) bool {
	isFailed := signal == model.SignalBroken || signal == model.SignalError
	isFinal := r.stage == stageAnswer || !a.isRepeatable && len(r.hedged) == 0
	return isFailed && isFinal && !a.isProbe
}

// sendInDomain sends a message of the signal broadcast to the other hosts of
// this host's failure domain.
func (s *State) sendInDomain(m message.Message) {
	for _, peer := range s.servers.signalBroadcast.DomainPeers() {
		s.send(peer, m)
	}
}

// signal classifies the end of an attempt as evidence about its server, given the
// signal that it has caused before if it was late.
func (a *attempt) signal(result model.AttemptResult) model.HealthSignal {
	signal := signalFromResult(result)
	if signal == model.SignalSuccess && a.isLate {
		return model.SignalLateSuccess
	}
	return signal
}

// signalFromResult classifies the result of an attempt as evidence about its
// server. A cancelled attempt, one that was shed and one that ran out of its
// caller's time are no evidence.
func signalFromResult(result model.AttemptResult) model.HealthSignal {
	switch {
	case result.Shed:
		return model.SignalNone
	case result.Reason == "" && result.Status >= 500:
		return model.SignalError
	case result.Reason == "":
		return model.SignalSuccess
	case result.Reason == model.ReasonBadAnswer:
		return model.SignalBroken
	case result.Reason == model.ReasonServerFailed && result.Verdict == model.NotRun:
		return model.SignalUnreachable
	case result.Reason == model.ReasonServerFailed:
		return model.SignalBroken
	default:
		return model.SignalNone
	}
}

// onSign handles a health signal of a host of an older release, and forwards it in
// this failure domain if this host is a relay for it.
func (s *State) onSign(m message.Sign) {
	if m.Origin.ID == s.self.ID || !s.servers.signalBroadcast.Accept(m.Origin, m.Sequence) {
		return
	}
	if m.IsRelayed {
		m.IsRelayed = false
		s.sendInDomain(m)
	}
	if pool := s.pool(m.Service); pool != nil {
		pool.ObserveRemote(s.now, m.Server, m.Sign, m.IsUnserved)
	}
}
