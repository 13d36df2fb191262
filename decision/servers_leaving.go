package decision

import (
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// addLeavingServers adds the leaving servers to a heartbeat.
func (s *State) addLeavingServers(m *message.Heartbeat) {
	for _, leaving := range s.servers.roster.LeavingToAnnounce(s.now) {
		m.Leaving = append(m.Leaving, leaving.Server)
		m.LeavingStarts = append(m.LeavingStarts, leaving.Start)
	}
}

// onPeerLeavingServers handles the leaving servers of a peer's heartbeat.
func (s *State) onPeerLeavingServers(m message.Heartbeat) {
	changed := false
	for i, id := range m.Leaving {
		announced := placement.LeavingServer{Server: id}
		if i < len(m.LeavingStarts) {
			announced.Start = m.LeavingStarts[i]
		}
		if s.servers.roster.MarkLeavingFromPeer(s.now, announced) {
			changed = true
			s.noteLeaving(id, "a peer")
		}
	}
	if changed {
		s.rebuildPools()
	}
}

// onServerDraining handles an answer to a request in which its server says that it
// is leaving, or that comes from another server at its address. It concerns the
// process that the request was sent to, not one that started since.
func (s *State) onServerDraining(a *attempt) {
	if !s.servers.roster.MarkLeaving(s.now, a.server, a.serverStart) {
		return
	}
	s.noteLeaving(a.server, "the server")
	s.rebuildPools()
}

// noteLeaving reports a server that is newly known to be leaving, and closes the
// idle connections to it.
func (s *State) noteLeaving(id model.ServerID, source string) {
	s.emit(effect.CloseIdle{Server: id})
	s.emitNotice(effect.NoticeLeaving, string(id)+" according to "+source)
}

// expireLeaving returns servers to use whose record as leaving has expired.
func (s *State) expireLeaving() {
	if s.servers.roster.Expire(s.now) {
		s.rebuildPools()
	}
	s.setRosterTimer()
}

func (s *State) setRosterTimer() {
	key := timerKey{timerServers, serversTimerRoster}
	next := s.servers.roster.NextExpiry()
	if next == model.Never {
		s.timers.Cancel(key)
		return
	}
	s.timers.Set(key, next)
}
