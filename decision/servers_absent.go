package decision

import (
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

// returnWithin is how long servers may take to list themselves again after the
// platform could not be followed. One that is still missing then is gone.
const returnWithin = 2 * time.Second

// absence is what the host remembers of servers that a resumed list lacks.
type absence struct {
	until   model.Instant // 0: no list was resumed
	servers []model.HostEntry
}

// listResumed keeps the servers in use for as long as they may take to come back
// to a list that could not be followed before the given instant.
func (s *State) listResumed(at model.Instant) {
	a := &s.servers.absent
	until := at.Add(returnWithin)
	if s.now >= until || until <= a.until {
		return
	}
	a.servers = slices.Clone(s.servers.list)
	a.until = until
	s.timers.Set(timerKey{timerServers, serversTimerAbsent}, until)
}

// withAbsent returns the entries and those servers that may still come back:
// they were in use before the list could not be followed, and no host said that
// they leave.
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

// endAbsence takes out the servers that did not come back.
func (s *State) endAbsence() {
	s.servers.absent.servers = nil
	s.takeList(s.servers.told)
}
