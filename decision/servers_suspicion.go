package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// signFanout bounds the hosts that one sign is sent to. In a larger fleet each
// sign reaches a random part of it.
const signFanout = 64

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
	m := message.Sign{Service: r.service, Server: r.server, Sign: sign}
	peers := s.config.peers
	if len(peers) > signFanout {
		peers = s.randomPeers(signFanout)
	}
	for _, peer := range peers {
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
