package decision

import (
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

// relistGrace is how long servers have to list themselves again after an
// interruption in which the platform's list could not be followed. A server
// that is still missing then is removed.
const relistGrace = 2 * time.Second

// absentServers are the servers in use before an interruption that the resumed
// list may lack.
type absentServers struct {
	until   model.Instant // 0: no interruption so far
	servers []model.HostEntry
}

// retainAbsentServers keeps the servers in use for relistGrace after a list
// could be followed again at the given instant.
func (s *State) retainAbsentServers(at model.Instant) {
	a := &s.servers.absent
	until := at.Add(relistGrace)
	if s.now >= until || until <= a.until {
		return
	}
	a.servers = slices.Clone(s.servers.appliedList)
	a.until = until
	s.timers.Set(timerKey{timerServers, serversTimerAbsent}, until)
}

// withAbsent returns the entries and the servers that may still reappear: they
// were in use before the interruption and not marked as leaving.
func (s *State) withAbsent(entries []model.HostEntry) []model.HostEntry {
	a := &s.servers.absent
	if s.now >= a.until {
		a.servers = nil
		return entries
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	all := slices.Clone(entries)
	for _, e := range a.servers {
		if e.Role == model.RoleBackend && !e.Leaving && !listed[e.ID] {
			all = append(all, e)
		}
	}
	return all
}

// dropAbsentServers removes the servers that did not reappear.
func (s *State) dropAbsentServers() {
	s.servers.absent.servers = nil
	s.applyServerList(s.servers.receivedList)
}
