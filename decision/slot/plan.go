package slot

import (
	"cmp"
	"hash/fnv"

	"pollensail.dev/decision/model"
)

// ranking orders hosts as owners of slots: hosts of the slot's own failure
// domain first, then those that hold the fewest slots, then by rendezvous hash
// (highest random weight, here the lowest).
type ranking struct {
	members []Member
	held    map[model.HostID]int // number of slots
}

// ranking counts the slots that each host is known to hold.
func (s *State) ranking(now model.Instant, f Fleet) ranking {
	r := ranking{members: f.Members, held: make(map[model.HostID]int)}
	for _, id := range s.order {
		if owner, ok := s.activeOwner(now, f, s.slots[id]); ok {
			r.held[owner]++
		}
	}
	return r
}

// activeOwner returns the owner of a slot. It reports false where the slot is
// vacant: its owner is not known, has been silent for ownerTimeout, or its
// process has ended.
func (s *State) activeOwner(now model.Instant, f Fleet, v *slot) (model.HostID, bool) {
	if v.lease != nil {
		return s.self.ID, true
	}
	isRecent := !v.owner.IsZero() && v.owner != s.self && now < v.ownerSeenAt.Add(ownerTimeout)
	return v.owner.ID, isRecent && !hasRestarted(f, v.owner, v.ownerSeenAt)
}

// best returns the first host in rank for which keep is true. Hosts that are
// leaving or stopping are left out.
func (r ranking) best(id model.SlotID, keep func(*Member) bool) (Member, bool) {
	var best *Member
	for i := range r.members {
		m := &r.members[i]
		if m.Staying && keep(m) && (best == nil || r.compare(id, m, best) < 0) {
			best = m
		}
	}
	if best == nil {
		return Member{}, false
	}
	return *best, true
}

// compare computes the hash, the most expensive part, only for hosts that are
// otherwise equal.
func (r ranking) compare(id model.SlotID, a, b *Member) int {
	if c := cmp.Compare(distance(id, a), distance(id, b)); c != 0 {
		return c
	}
	if c := cmp.Compare(r.held[a.Ref.ID], r.held[b.Ref.ID]); c != 0 {
		return c
	}
	return cmp.Compare(rendezvousHash(id, a.Ref.ID), rendezvousHash(id, b.Ref.ID))
}

// improvesBalance reports whether moving a slot between two hosts is worth it:
// it brings the slot into its own failure domain, or leaves the host that takes
// it with no more slots than the other. The reverse move is then not worth it.
func (r ranking) improvesBalance(id model.SlotID, from, to *Member) bool {
	if d := distance(id, to) - distance(id, from); d != 0 {
		return d < 0
	}
	return r.held[from.Ref.ID]-r.held[to.Ref.ID] >= 2
}

// distance is 0 for hosts of the slot's own failure domain, else 1.
func distance(id model.SlotID, m *Member) int {
	if m.Domain == id.Domain {
		return 0
	}
	return 1
}

// rendezvousHash is the hash of a slot and a host.
func rendezvousHash(id model.SlotID, host model.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id.Domain))
	h.Write([]byte{0, byte(id.Index), byte(id.Index >> 8), 0})
	h.Write([]byte(host))
	return mix(h.Sum64())
}

// mix spreads the difference of similar inputs over all bits; FNV-1a alone
// leaves the high bits of short strings alike. It is the finalizer of
// splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// plannedClaims returns the vacant slots that this host has to claim. Hosts
// with the same knowledge compute the same assignment.
func (s *State) plannedClaims(now model.Instant, f Fleet) []*slot {
	var mine []*slot
	vacant := s.vacant(now, f)
	if len(vacant) == 0 {
		return nil
	}
	r := s.ranking(now, f)
	for _, v := range vacant {
		best, ok := r.best(v.id, func(m *Member) bool { return m.PresumedAlive })
		if !ok {
			continue
		}
		r.held[best.Ref.ID]++
		if best.Ref.ID == s.self.ID {
			mine = append(mine, v)
		}
	}
	return mine
}

// vacant returns the slots without an active owner.
func (s *State) vacant(now model.Instant, f Fleet) []*slot {
	var vacant []*slot
	for _, id := range s.order {
		if _, ok := s.activeOwner(now, f, s.slots[id]); !ok {
			vacant = append(vacant, s.slots[id])
		}
	}
	return vacant
}
