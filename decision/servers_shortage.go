package decision

import (
	"maps"
	"slices"
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// countRequestEnd counts an ended request in the estimate of whether its
// service is short of servers. A failed probe does not count; else the probes
// would keep the shortage up and cause more probes.
func (s *State) countRequestEnd(r *request) {
	pool := s.pool(r.service)
	if pool == nil {
		return
	}
	isUnserved := r.isServiceFailure() && !r.isCountedUnserved && !r.isProbe
	pool.CountRequestEnd(s.now, isUnserved)
	if isUnserved && s.sharesDetection(r.service) {
		s.reportUnserved(r.service, pool)
	}
	s.noteShortage(r.service, pool)
}

// isServiceFailure reports whether the request failed because of its servers or
// for lack of a server, a token or proof that its key is valid. A request that
// is not allowed, such as one above its account's rate, says nothing about the
// service.
func (r *request) isServiceFailure() bool {
	if r.result == model.Delivered {
		return false
	}
	switch r.reason {
	case model.ReasonOverloaded, model.ReasonServersCold, model.ReasonNoServer, model.ReasonServerFailed, model.ReasonBadAnswer,
		model.ReasonTimedOut, model.ReasonTokensUnavailable,
		model.ReasonNotReady, model.ReasonIsolated, model.ReasonKeysUnconfirmed:
		return true
	default:
		return false
	}
}

// reportUnserved tells the other hosts of this host's unserved requests, or sets
// a timer for when that is due.
func (s *State) reportUnserved(id model.ServiceID, pool *placement.Pool) {
	if due := pool.UnservedReportDue(); due > s.now {
		s.setUnservedTimer(due)
		return
	}
	s.servers.signalBroadcast.AddUnserved(id, pool.TakeUnservedReport(s.now))
	s.runSignalRound()
}

// setUnservedTimer makes the next report due at the given time at the latest.
func (s *State) setUnservedTimer(at model.Instant) {
	if at >= s.servers.unservedTimerAt {
		return
	}
	s.servers.unservedTimerAt = at
	s.timers.Set(timerKey{timerServers, serversTimerUnserved}, at)
}

// sendUnservedReports sends the reports that are due.
func (s *State) sendUnservedReports() {
	s.servers.unservedTimerAt = model.Never
	for _, id := range slices.Sorted(maps.Keys(s.servers.pools)) {
		pool := s.servers.pools[id]
		if pool.UnservedReportDue() != model.Never && s.sharesDetection(id) {
			s.reportUnserved(id, pool)
		}
	}
}

// onUnservedReport handles the report of a host of an older release, and forwards it
// in this failure domain if this host is a relay for it.
func (s *State) onUnservedReport(m message.UnservedReport) {
	if m.Origin.ID == s.self.ID || m.Requests <= 0 || !s.servers.signalBroadcast.Accept(m.Origin, m.Sequence) {
		return
	}
	if m.IsRelayed {
		m.IsRelayed = false
		s.sendInDomain(m)
	}
	if pool := s.pool(m.Service); pool != nil {
		pool.ObserveRemoteUnserved(s.now, m.Requests)
	}
}

// minShortageNoticeInterval bounds the notices on a service whose share of
// unserved requests is about that of a shortage.
const minShortageNoticeInterval = 2 * time.Second

// shortageNotice is the last notice on the shortage of a service.
type shortageNotice struct {
	isShort bool
	at      model.Instant
}

// noteShortage reports when a service begins or ends to be short of servers at
// this host, with what keeps servers from ordinary use.
func (s *State) noteShortage(id model.ServiceID, pool *placement.Pool) {
	isShort := pool.IsShort(s.now)
	last, ok := s.servers.shortageNotices[id]
	if isShort == last.isShort || ok && s.now < last.at.Add(minShortageNoticeInterval) {
		return
	}
	s.servers.shortageNotices[id] = shortageNotice{isShort, s.now}
	kind := effect.NoticeNotShort
	if isShort {
		kind = effect.NoticeShort
	}
	s.emitNotice(kind, string(id)+": "+pool.Usage(s.now).String())
}
