package placement

import (
	"math"
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

// maxHostSets bounds the remembered sets of hosts. At 450 hosts they take 4 KB each. In
// the 2 s that a new list takes to all hosts, a list that is read five times a second
// has a third of that. Beyond it, this host uses no share until its lists settle.
const maxHostSets = 32

// HostSets holds the sets of entry hosts that this host has recently read from the
// host list. From them each host computes by itself how much of a bounded number of
// requests it may send. Make it with NewHostSets.
type HostSets struct {
	self   model.HostID
	hash   uint64        // of self
	settle time.Duration // the time in which all hosts get a new list
	// unsettledAt is when this host had its first list, or was last paused. It uses no
	// share until settle later: it does not know what its earlier process sent, nor
	// which lists were in force before.
	unsettledAt model.Instant
	sets        []hostSet // oldest first; the last is in force; empty before the first list
	// confirmedAt is when the list was last known to be the newest. An older one may
	// differ from those of other hosts, unless none of them gets a new one (isFrozen).
	confirmedAt model.Instant
	isFrozen    bool
	foundStale  bool // a share was computed while the list was too old
	hasNamed    bool // a list has named hosts
	// generation changes with the sets, so that computed shares can be kept.
	generation uint64
}

// hostSet is a set of hosts.
type hostSet struct {
	hosts   []model.HostID // sorted
	others  []uint64       // hashes of all but this host
	hasSelf bool
	until   model.Instant // when the next one replaced it; model.Never: it is in force
}

// NewHostSets returns the sets of a host that has just started and has no list.
func NewHostSets(self model.HostID, settle time.Duration) *HostSets {
	return &HostSets{self: self, hash: Hash(string(self), 0), settle: settle, generation: 1}
}

// SetSettle sets the time in which all hosts get a new list.
func (h *HostSets) SetSettle(settle time.Duration) {
	if h.settle != settle {
		h.settle = settle
		h.generation++
	}
}

// Unsettle keeps this host from using shares until its lists are those of the
// other hosts again, after a start or a pause.
func (h *HostSets) Unsettle(now model.Instant) {
	h.unsettledAt = now
	h.generation++
}

// Confirm notes that the list was the newest at an instant.
func (h *HostSets) Confirm(at model.Instant) {
	h.confirmedAt = max(h.confirmedAt, at)
	if h.foundStale {
		h.foundStale = false
		h.generation++
	}
}

// SetFrozen says whether no host gets a new list, because the store is down for all
// of them.
func (h *HostSets) SetFrozen(isFrozen bool) {
	if h.isFrozen != isFrozen {
		h.isFrozen = isFrozen
		h.generation++
	}
}

// Set replaces the set of hosts. An empty one means that this host is alone, as long as
// no list has named any host.
func (h *HostSets) Set(now model.Instant, hosts []model.HostID) {
	hosts = slices.Sorted(slices.Values(hosts))
	isFirst := len(h.sets) == 0
	if !isFirst {
		current := &h.sets[len(h.sets)-1]
		if slices.Equal(hosts, current.hosts) {
			return
		}
		current.until = now
	}
	h.hasNamed = h.hasNamed || len(hosts) > 0
	next := hostSet{hosts: hosts, hasSelf: !h.hasNamed, until: model.Never}
	for _, id := range hosts {
		if id == h.self {
			next.hasSelf = true
			continue
		}
		next.others = append(next.others, Hash(string(id), 0))
	}
	h.sets = append(h.sets, next)
	first := slices.IndexFunc(h.sets, func(s hostSet) bool { return h.isRecent(now, s) })
	dropped := len(h.sets) - maxHostSets
	h.sets = slices.Delete(h.sets, 0, max(first, dropped))
	h.generation++
	if isFirst || dropped > first {
		h.Unsettle(now)
	}
}

// isRecent reports whether some host may still use the set.
func (h *HostSets) isRecent(now model.Instant, s hostSet) bool {
	return s.until == model.Never || now < s.until.Add(h.settle)
}

// hostShare is a host's part of the requests of all hosts to one server.
type hostShare struct {
	quota      int           // requests in a send window
	until      model.Instant // the quota may change then; model.Never: not by time alone
	generation uint64        // of HostSets
}

// share returns this host's part of a number of requests to a server: the least
// that it computes from any recent set. Where every host's list is at most settle
// old, all hosts have had one set in common in that time, so that the parts of
// all hosts add up to the number at most.
func (h *HostSets) share(now model.Instant, id model.ServerID, total int) hostShare {
	share := hostShare{quota: math.MaxInt, until: model.Never, generation: h.generation}
	settledAt := h.unsettledAt.Add(h.settle)
	switch {
	case len(h.sets) == 0:
		share.quota = 0
		return share
	case now < settledAt:
		share.quota, share.until = 0, settledAt
		return share
	}
	if !h.isFrozen {
		share.until = h.confirmedAt.Add(h.settle)
	}
	if now >= share.until {
		h.foundStale = true
		share.quota, share.until = 0, model.Never
		return share
	}
	server := Hash(string(id), 0)
	for _, s := range h.sets {
		if !h.isRecent(now, s) {
			continue
		}
		share.quota = min(share.quota, s.quota(h.hash, server, total))
		if s.until != model.Never {
			share.until = min(share.until, s.until.Add(h.settle))
		}
	}
	return share
}

// quota divides a number of requests among the hosts in the order of rendezvous
// hashing for the server.
func (s *hostSet) quota(self, server uint64, total int) int {
	if !s.hasSelf {
		return 0 // the other hosts do not count this one
	}
	hosts := len(s.others) + 1
	own := mixHash(self ^ server)
	rank := 0
	for _, other := range s.others {
		if mixHash(other^server) < own {
			rank++
		}
	}
	if rank < total%hosts {
		return total/hosts + 1
	}
	return total / hosts
}
