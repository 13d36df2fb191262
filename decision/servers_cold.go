package decision

import (
	"cmp"
	"fmt"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

const (
	// minSettleTime is the shortest time in which all hosts get a new host list where
	// list_age is not set. Each host then reads the list once in a second, or in
	// listReadInterval for each host where that is longer (host/store). Both are
	// doubled for a read that fails.
	minSettleTime    = 2 * time.Second
	listReadInterval = 20 * time.Millisecond
	// maxEventGap is the time without an event from which this host counts as having
	// been paused. A heartbeat is sent three times a second.
	maxEventGap = time.Second
	// minColdNoticeInterval bounds the notices on a service of which a few servers
	// become warm and cold in turn.
	minColdNoticeInterval = time.Second
)

// coldLimit returns the limit of requests to a cold server of a service.
func coldLimit(service *configuration.Service) placement.ColdLimit {
	return placement.ColdLimit{
		Rate:      service.ColdRate,
		Overshoot: max(service.ColdOvershoot, 1),
		Slack:     service.ColdSlack,
	}
}

func (s *State) startHostSets() {
	s.servers.hostSets = placement.NewHostSets(s.self.ID, s.listSettleTime())
}

// listSettleTime returns the time in which all hosts get a new host list.
func (s *State) listSettleTime() time.Duration {
	settle := max(minSettleTime, 2*listReadInterval*time.Duration(s.servers.activeHosts))
	return max(cmp.Or(s.listAge(), settle), placement.MinSettle)
}

// setHostSets updates the hosts that share the requests to cold servers.
func (s *State) setHostSets(entries []model.HostEntry) {
	var hosts []model.HostID
	for _, e := range entries {
		if e.Role == model.RoleEntry && !e.Leaving {
			hosts = append(hosts, model.HostID(e.ID))
		}
	}
	s.servers.hostSets.SetSettle(s.listSettleTime())
	s.servers.hostSets.Set(s.now, hosts)
}

// notePause recognises a pause of this process before an event. The host list may
// have changed meanwhile for the other hosts.
func (s *State) notePause(at model.Instant) {
	if s.servers.hostSets != nil && at.Sub(s.now) > maxEventGap {
		s.servers.hostSets.Unsettle(at)
	}
}

// refuseCold returns after how long a request should come back that is refused
// because all usable servers of its service are cold, 0 if it is not refused.
func (s *State) refuseCold(r *request, pool *placement.Pool) time.Duration {
	if !pool.LimitsCold() && len(s.servers.coldNotices) == 0 {
		return 0
	}
	wait := pool.RefuseCold(s.now, s.rand, s.priority(r), s.allowedRegions(r))
	if last := s.servers.coldNotices[r.service]; pool.WasAllCold() != last.allCold {
		s.noteAllCold(r.service, pool, last)
	}
	return wait
}

// priority returns how urgent a request is, 0 the most. That of the client account
// takes precedence over that of the route.
func (s *State) priority(r *request) int {
	if account, ok := s.snapshot.Accounts[r.account]; ok && account.HasPriority {
		return account.Priority
	}
	return r.route.Priority
}

// coldNotice is the last notice on whether the usable servers of a service are all
// cold.
type coldNotice struct {
	allCold bool
	at      model.Instant
}

// noteAllCold reports when all usable servers of a service are cold, and the end of
// that.
func (s *State) noteAllCold(id model.ServiceID, pool *placement.Pool, last coldNotice) {
	if last.at != 0 && s.now < last.at.Add(minColdNoticeInterval) {
		return
	}
	use, allCold := pool.AllCold(s.now, nil)
	s.servers.coldNotices[id] = coldNotice{allCold, s.now}
	if !allCold {
		s.emitNotice(effect.NoticeNotCold, string(id))
		return
	}
	s.emitNotice(effect.NoticeAllCold, fmt.Sprintf("%s: all %d usable servers are cold; this host sends them %.1f requests a second; the first is warm in %v",
		id, use.Servers, use.Rate, use.WarmAt.Sub(s.now).Round(time.Millisecond)))
}

// stateCold is the state of a cold server in the status.
const stateCold = "cold"

// serverDetail returns what the status says of a server beside its state.
func (s *State) serverDetail(service model.ServiceID, id model.ServerID, state string) string {
	pool := s.servers.pools[service]
	if pool == nil || state != stateCold {
		return ""
	}
	interval, isLimited := pool.ColdShare(s.now, id)
	switch {
	case !isLimited:
		return ""
	case interval == 0:
		return "this host sends it nothing"
	default:
		return fmt.Sprintf("this host sends it a request every %v at most", interval.Round(time.Millisecond))
	}
}

// missedSendTime reports whether an attempt was not sent because it was too late for
// its cold server.
func (s *State) missedSendTime(a *attempt, result model.AttemptResult) bool {
	return result.Verdict == model.NotRun && s.now > a.sendBy
}
