package decision

import (
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
)

// leavingServers returns the servers to announce as leaving in heartbeats.
func (s *State) leavingServers() []model.ServerID {
	return s.servers.roster.Announced(s.now)
}

// leavingHeard is called with the leaving servers of a peer's heartbeat.
func (s *State) leavingHeard(servers []model.ServerID) {
	changed := false
	for _, id := range servers {
		if s.servers.roster.HearLeaving(s.now, id) {
			changed = true
			s.noticeLeaving(id, "a peer")
		}
	}
	if changed {
		s.rebuildPools()
	}
}

// serverDrains is called when a server said in an answer that it is leaving.
func (s *State) serverDrains(id model.ServerID) {
	if !s.servers.roster.MarkLeaving(s.now, id) {
		return
	}
	s.noticeLeaving(id, "the server")
	s.rebuildPools()
}

func (s *State) noticeLeaving(id model.ServerID, source string) {
	s.notice(effect.NoticeLeaving, string(id)+" according to "+source)
}

// expireLeaving takes back servers whose time on record as leaving is over.
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
