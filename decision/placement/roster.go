package placement

import (
	"cmp"
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// leavingMemory is how long a leaving server is remembered after the host
	// list dropped it. A list that lags by less cannot bring it back.
	leavingMemory = 60 * time.Second
	// announceFor is how long heartbeats name a leaving server. It is shorter
	// than leavingMemory, so that hosts do not remind each other for ever.
	announceFor = 15 * time.Second
)

// Roster is what a host knows of backend servers by address: since when they
// are there and which are leaving. Make it with NewRoster.
type Roster struct {
	seen map[model.ServerID]*presence
	// listed and configured tell whether a first host list and a first
	// configuration have come; the servers in those count as warm.
	listed     bool
	configured bool
}

// presence is one server's stay.
type presence struct {
	coldSince model.Instant  // model.Never: warm
	coldFor   time.Duration  // what the list said of the time from coldSince; 0: nothing
	slots     int            // from the host list; 0: unknown
	since     model.WallTime // from the host list; 0: unknown
	isListed  bool
	isMember  bool // named by the configuration
	leaving   bool
	learned   model.Instant // when it was first known to be leaving
	forgetAt  model.Instant // model.Never: while the list has it
}

// NewRoster returns an empty roster.
func NewRoster() *Roster {
	return &Roster{seen: make(map[model.ServerID]*presence)}
}

// Configured takes the servers that a configuration names.
func (r *Roster) Configured(now model.Instant, servers []model.ServerID) {
	for _, p := range r.seen {
		p.isMember = false
	}
	for _, id := range servers {
		r.appear(now, id, !r.configured).isMember = true
	}
	r.configured = true
	r.Expire(now)
}

// Listed takes the backend servers of a host list. It returns the servers that
// are newly known to be leaving.
func (r *Roster) Listed(now model.Instant, entries []model.HostEntry) []model.ServerID {
	wasListed := make(map[model.ServerID]bool)
	for id, p := range r.seen {
		wasListed[id] = p.isListed
		p.isListed = false
	}
	var leaving []model.ServerID
	for _, e := range entries {
		if e.Role == model.RoleBackend && r.list(now, e) {
			leaving = append(leaving, model.ServerID(e.ID))
		}
	}
	r.listed = true
	r.dropped(now, wasListed)
	r.Expire(now)
	return leaving
}

// list takes one entry and reports whether it says something new about
// leaving.
func (r *Roster) list(now model.Instant, e model.HostEntry) bool {
	id := model.ServerID(e.ID)
	p := r.appear(now, id, !r.listed)
	p.isListed = true
	p.slots = e.Slots
	isNewLife := !e.Leaving && p.since != 0 && e.Since > p.since
	if isNewLife {
		*p = presence{coldSince: now, isListed: true, isMember: p.isMember, slots: e.Slots, forgetAt: model.Never}
	}
	if e.ColdFor > 0 && p.coldFor == 0 {
		p.coldSince, p.coldFor = now, e.ColdFor
	}
	if e.Since != 0 {
		p.since = e.Since
	}
	if !e.Leaving {
		return false
	}
	return r.MarkLeaving(now, id)
}

// dropped starts the memory of leaving servers that the list no longer has.
func (r *Roster) dropped(now model.Instant, wasListed map[model.ServerID]bool) {
	for id, p := range r.seen {
		if wasListed[id] && !p.isListed && p.leaving {
			p.forgetAt = now.Add(leavingMemory)
		}
	}
}

// appear returns the server's presence. A server that was not known before is
// cold unless it is among the first that the host learned of.
func (r *Roster) appear(now model.Instant, id model.ServerID, isWarm bool) *presence {
	if p, ok := r.seen[id]; ok {
		return p
	}
	p := &presence{coldSince: now, forgetAt: model.Never}
	if isWarm {
		p.coldSince = model.Never
	}
	r.seen[id] = p
	return p
}

// MarkLeaving notes that the server is leaving and reports whether that is
// new. A server that is not listed is remembered for a bounded time from its
// last sign, because no list will drop it.
func (r *Roster) MarkLeaving(now model.Instant, id model.ServerID) bool {
	p := r.appear(now, id, false)
	isNew := !p.leaving
	p.leaving = true
	if isNew {
		p.learned = now
	}
	p.forgetAt = now.Add(leavingMemory)
	if p.isListed {
		p.forgetAt = model.Never
	}
	return isNew
}

// HearLeaving is MarkLeaving for a peer's word. It does not prolong what is
// already known.
func (r *Roster) HearLeaving(now model.Instant, id model.ServerID) bool {
	if r.IsLeaving(id) {
		return false
	}
	return r.MarkLeaving(now, id)
}

// Expire forgets leaving servers whose time is over. A configured or listed
// one stays known and is cold again. It reports whether there were any.
func (r *Roster) Expire(now model.Instant) bool {
	expired := false
	for id, p := range r.seen {
		switch {
		case p.leaving && p.forgetAt <= now:
			expired = true
			r.forget(now, id, p)
		case !p.leaving && !p.isListed && !p.isMember:
			delete(r.seen, id)
		}
	}
	return expired
}

func (r *Roster) forget(now model.Instant, id model.ServerID, p *presence) {
	if !p.isListed && !p.isMember {
		delete(r.seen, id)
		return
	}
	p.leaving = false
	p.forgetAt = model.Never
	p.coldSince = now
}

// NextExpiry returns when Expire next has something to do, or model.Never.
func (r *Roster) NextExpiry() model.Instant {
	next := model.Never
	for _, p := range r.seen {
		if p.leaving {
			next = min(next, p.forgetAt)
		}
	}
	return next
}

// IsLeaving reports whether the server is to get no new work.
func (r *Roster) IsLeaving(id model.ServerID) bool {
	p, ok := r.seen[id]
	return ok && p.leaving
}

// ColdSince returns when a new server appeared, model.Never for a warm one.
func (r *Roster) ColdSince(id model.ServerID) model.Instant {
	p, ok := r.seen[id]
	if !ok {
		return model.Never
	}
	return p.coldSince
}

// IsCold reports whether the server appeared less than ramp ago, or less than
// the host list said that it is slow for.
func (r *Roster) IsCold(now model.Instant, id model.ServerID, ramp time.Duration) bool {
	since := r.ColdSince(id)
	return since != model.Never && now < since.Add(cmp.Or(r.ColdFor(id), ramp))
}

// ColdFor returns how long the host list said that the server is slow; 0 where
// it said nothing.
func (r *Roster) ColdFor(id model.ServerID) time.Duration {
	p, ok := r.seen[id]
	if !ok {
		return 0
	}
	return p.coldFor
}

// Slots returns how many requests the server works on at once by the host list;
// 0 where it said nothing.
func (r *Roster) Slots(id model.ServerID) int {
	p, ok := r.seen[id]
	if !ok {
		return 0
	}
	return p.slots
}

// Leaving returns all leaving servers, in order.
func (r *Roster) Leaving() []model.ServerID {
	return r.leavingWhere(func(*presence) bool { return true })
}

// Announced returns the leaving servers that heartbeats are to name, in order.
func (r *Roster) Announced(now model.Instant) []model.ServerID {
	return r.leavingWhere(func(p *presence) bool { return now < p.learned.Add(announceFor) })
}

func (r *Roster) leavingWhere(keep func(*presence) bool) []model.ServerID {
	var ids []model.ServerID
	for id, p := range r.seen {
		if p.leaving && keep(p) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
