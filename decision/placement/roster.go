package placement

import (
	"cmp"
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// leavingRetention is how long a leaving server is remembered after the
	// host list has dropped it. A list that lags by less does not make the
	// server available again.
	leavingRetention = 60 * time.Second
	// announceDuration is how long heartbeats announce a leaving server. It is
	// shorter than leavingRetention, so that hosts do not keep reviving each
	// other's entries.
	announceDuration = 15 * time.Second
)

// Roster records backend servers by address: since when each is known, and
// which are leaving. Make it with NewRoster.
type Roster struct {
	entries map[model.ServerID]*rosterEntry
	// hasHostList and hasConfiguration say whether a first host list and a
	// first configuration have been applied. The servers in those count as
	// warm.
	hasHostList      bool
	hasConfiguration bool
}

// rosterEntry is what is known of one server.
type rosterEntry struct {
	coldSince    model.Instant  // start of the slow start; model.Never: warm
	coldFor      time.Duration  // length of the slow start, from the host list; 0: not given
	listedCold   time.Duration  // HostEntry.ColdFor of the last list
	slots        int            // from the host list; 0: unknown
	listedSince  model.WallTime // HostEntry.Since from the host list; 0: unknown
	isListed     bool
	isConfigured bool // named by the configuration
	isLeaving    bool
	leavingStart model.WallTime // HostEntry.Since of the process that is leaving; 0: unknown
	leavingSince model.Instant  // when it was first known to be leaving
	forgetAt     model.Instant  // when leaving is forgotten; model.Never: not while the list has the server
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{entries: make(map[model.ServerID]*rosterEntry)}
}

// ApplyConfiguration applies the servers that a configuration names.
func (r *Roster) ApplyConfiguration(now model.Instant, servers []model.ServerID) {
	for _, p := range r.entries {
		p.isConfigured = false
	}
	for _, id := range servers {
		r.getOrAdd(now, id, !r.hasConfiguration).isConfigured = true
	}
	r.hasConfiguration = true
	r.Expire(now)
}

// ApplyHostList applies the backend servers of a host list. It returns the
// servers that are newly known to be leaving.
func (r *Roster) ApplyHostList(now model.Instant, entries []model.HostEntry) []model.ServerID {
	wasListed := make(map[model.ServerID]bool)
	for id, p := range r.entries {
		wasListed[id] = p.isListed
		p.isListed = false
	}
	var leaving []model.ServerID
	for _, e := range entries {
		if e.Role == model.RoleBackend && r.applyEntry(now, e) {
			leaving = append(leaving, model.ServerID(e.ID))
		}
	}
	r.hasHostList = true
	r.scheduleExpiry(now, wasListed)
	r.Expire(now)
	return leaving
}

// applyEntry applies one entry of a host list and reports whether the server is
// newly known to be leaving.
func (r *Roster) applyEntry(now model.Instant, e model.HostEntry) bool {
	id := model.ServerID(e.ID)
	p := r.getOrAdd(now, id, !r.hasHostList)
	p.isListed = true
	p.slots = e.Slots
	isRestarted := !e.Leaving && p.listedSince != 0 && e.Since > p.listedSince
	if isRestarted {
		*p = rosterEntry{coldSince: now, isListed: true, isConfigured: p.isConfigured, slots: e.Slots, forgetAt: model.Never}
	}
	p.applyColdFor(now, e.ColdFor)
	if e.Since != 0 {
		p.listedSince = e.Since
	}
	if !e.Leaving {
		return false
	}
	return r.MarkLeaving(now, id, e.Since)
}

// scheduleExpiry sets when leaving servers that the list has dropped are
// forgotten.
func (r *Roster) scheduleExpiry(now model.Instant, wasListed map[model.ServerID]bool) {
	for id, p := range r.entries {
		if wasListed[id] && !p.isListed && p.isLeaving {
			p.forgetAt = now.Add(leavingRetention)
		}
	}
}

// getOrAdd returns the server's entry. A server that was unknown is cold unless
// isWarm.
func (r *Roster) getOrAdd(now model.Instant, id model.ServerID, isWarm bool) *rosterEntry {
	if p, ok := r.entries[id]; ok {
		return p
	}
	p := &rosterEntry{coldSince: now, forgetAt: model.Never}
	if isWarm {
		p.coldSince = model.Never
	}
	r.entries[id] = p
	return p
}

// MarkLeaving records that the server's process with the given start, 0 if unknown,
// is leaving and reports whether that is new. It ignores a process that was
// restarted since: the new one knows nothing of before. A server that is not in the
// list is remembered for a bounded time from the last call, because no list will
// drop it, and so is one that is listed with a start that may be another.
func (r *Roster) MarkLeaving(now model.Instant, id model.ServerID, start model.WallTime) bool {
	p := r.getOrAdd(now, id, false)
	if start != 0 && start < p.listedSince {
		return false
	}
	isNew := !p.isLeaving || p.isEarlierStart(start)
	p.isLeaving = true
	p.leavingStart = max(p.leavingStart, start)
	p.listedSince = max(p.listedSince, start)
	if isNew {
		p.leavingSince = now
	}
	p.forgetAt = now.Add(leavingRetention)
	if p.isListed && p.leavingStart >= p.listedSince {
		p.forgetAt = model.Never
	}
	return isNew
}

// isEarlierStart reports whether the process that is leaving started before the
// given start.
func (p *rosterEntry) isEarlierStart(start model.WallTime) bool {
	return p.leavingStart != 0 && p.leavingStart < start
}

// MarkLeavingFromPeer is MarkLeaving for an announcement by a peer. It does not
// extend the time of a process that is already known to be leaving.
func (r *Roster) MarkLeavingFromPeer(now model.Instant, announced LeavingServer) bool {
	p, ok := r.entries[announced.Server]
	if ok && p.isLeaving && !p.isEarlierStart(announced.Start) {
		return false
	}
	return r.MarkLeaving(now, announced.Server, announced.Start)
}

// Expire forgets leaving servers whose time has passed. A configured or listed
// server stays known and is cold again. It reports whether there were any.
func (r *Roster) Expire(now model.Instant) bool {
	expired := false
	for id, p := range r.entries {
		switch {
		case p.isLeaving && p.forgetAt <= now:
			expired = true
			r.expire(now, id, p)
		case !p.isLeaving && !p.isListed && !p.isConfigured:
			delete(r.entries, id)
		}
	}
	return expired
}

func (r *Roster) expire(now model.Instant, id model.ServerID, p *rosterEntry) {
	if !p.isListed && !p.isConfigured {
		delete(r.entries, id)
		return
	}
	p.isLeaving = false
	p.leavingStart = 0
	p.forgetAt = model.Never
	p.coldSince = now
}

// NextExpiry returns when the next leaving server expires, or model.Never.
func (r *Roster) NextExpiry() model.Instant {
	next := model.Never
	for _, p := range r.entries {
		if p.isLeaving {
			next = min(next, p.forgetAt)
		}
	}
	return next
}

// IsLeaving reports whether the server is leaving and gets no new requests.
func (r *Roster) IsLeaving(id model.ServerID) bool {
	p, ok := r.entries[id]
	return ok && p.isLeaving
}

// ColdSince returns when a new server was first seen, model.Never for a warm
// one.
func (r *Roster) ColdSince(id model.ServerID) model.Instant {
	p, ok := r.entries[id]
	if !ok {
		return model.Never
	}
	return p.coldSince
}

// IsCold reports whether the server is in its slow start, which lasts for the
// time from the host list, or for ramp where the list gives none.
func (r *Roster) IsCold(now model.Instant, id model.ServerID, ramp time.Duration) bool {
	since := r.ColdSince(id)
	return since != model.Never && now < since.Add(cmp.Or(r.ColdFor(id), ramp))
}

// ColdFor returns the length of the server's slow start from the host list, 0
// where the list gives none.
func (r *Roster) ColdFor(id model.ServerID) time.Duration {
	p, ok := r.entries[id]
	if !ok {
		return 0
	}
	return p.coldFor
}

// Slots returns how many requests the server processes concurrently, from the
// host list; 0 where the list gives no number.
func (r *Roster) Slots(id model.ServerID) int {
	p, ok := r.entries[id]
	if !ok {
		return 0
	}
	return p.slots
}

// Start returns the start of the server's process from the host list, 0 if it is
// unknown.
func (r *Roster) Start(id model.ServerID) model.WallTime {
	p, ok := r.entries[id]
	if !ok {
		return 0
	}
	return p.listedSince
}

// LeavingServer is a server whose process with the given start is leaving.
type LeavingServer struct {
	Server model.ServerID
	Start  model.WallTime // HostEntry.Since; 0: unknown
}

// LeavingToAnnounce returns the leaving servers that heartbeats announce, sorted
// by ID.
func (r *Roster) LeavingToAnnounce(now model.Instant) []LeavingServer {
	var leaving []LeavingServer
	for id, p := range r.entries {
		if p.isLeaving && now < p.leavingSince.Add(announceDuration) {
			leaving = append(leaving, LeavingServer{id, p.leavingStart})
		}
	}
	slices.SortFunc(leaving, func(a, b LeavingServer) int { return cmp.Compare(a.Server, b.Server) })
	return leaving
}
