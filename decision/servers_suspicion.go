package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// sharesSigns reports whether hosts tell each other of single failures of a
// service's servers.
func (s *State) sharesSigns(id model.ServiceID) bool {
	service, ok := s.snapshot.Services[id]
	return ok && service.SharedDetection
}

// noteSign takes what a request's attempt says about its server and tells other
// hosts, because a host alone sees a server too rarely.
func (s *State) noteSign(r *request, pool *placement.Pool, sign model.Sign) {
	if !pool.Observe(s.now, r.server, sign) {
		return
	}
	m := message.Sign{
		Origin:   s.self,
		Sequence: s.servers.signs.Next(),
		Service:  r.service,
		Server:   r.server,
		Sign:     sign,
	}
	s.sendNear(m)
	m.IsRelayed = true
	isAlive := func(id model.HostID) bool { return s.limits.members.IsHeard(s.now, id) }
	for _, relay := range s.servers.signs.Relays(s.rand, isAlive) {
		s.send(relay, m)
	}
}

// sendNear sends a sign to the other hosts of this host's failure domain.
func (s *State) sendNear(m message.Sign) {
	for _, peer := range s.servers.signs.Near() {
		s.send(peer, m)
	}
}

// signOf returns what the result of an attempt says about its server. A
// cancelled attempt and one that ran out of its caller's time say nothing.
func signOf(result model.AttemptResult) model.Sign {
	switch {
	case result.Shed:
		return model.SignNone
	case result.Reason == "" && result.Status >= 500:
		return model.SignError
	case result.Reason == "":
		return model.SignGood
	case result.Reason == model.ReasonBadAnswer:
		return model.SignBroken
	case result.Reason == model.ReasonServerFailed && result.Verdict == model.NotRun:
		return model.SignUnreachable
	case result.Reason == model.ReasonServerFailed:
		return model.SignBroken
	default:
		return model.SignNone
	}
}

// onSign takes what another host saw of a server.
func (s *State) onSign(m message.Sign) {
	if m.Origin.ID == s.self.ID || !s.servers.signs.Take(m.Origin, m.Sequence) {
		return
	}
	if m.IsRelayed {
		m.IsRelayed = false
		s.sendNear(m)
	}
	if pool := s.pool(m.Service); pool != nil {
		pool.Hear(s.now, m.Server, m.Sign)
	}
}

// watchSilence makes an attempt without an answer count against its server long
// before its deadline.
func (s *State) watchSilence(r *request) {
	pool := s.pool(r.service)
	if pool == nil || !s.sharesSigns(r.service) {
		return
	}
	if after := pool.SilentAfter(); after > 0 {
		s.timers.Set(timerKey{timerRequest, uint64(r.Request)}, s.now.Add(after))
	}
}

// onSilence takes the sign of an attempt that still has no answer.
func (s *State) onSilence(r *request) {
	pool := s.pool(r.service)
	if pool != nil && s.sharesSigns(r.service) {
		s.noteSign(r, pool, model.SignSilent)
	}
}
