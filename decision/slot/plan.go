package slot

import (
	"cmp"
	"hash/fnv"

	"pollensail.dev/decision/model"
)

// ranking orders hosts as owners of slots: hosts of the slot's own failure
// domain first, then those that hold the fewest slots, then by rendezvous
// hash.
type ranking struct {
	members []Member
	held    map[model.HostID]int
}

// ranking counts the slots that each host is known to hold.
func (s *State) ranking(now model.Instant, f Fleet) ranking {
	r := ranking{members: f.Members, held: make(map[model.HostID]int)}
	for _, id := range s.order {
		if owner, ok := s.presentOwner(now, f, s.slots[id]); ok {
			r.held[owner]++
		}
	}
	return r
}

// presentOwner returns the owner of a slot that is not vacant.
func (s *State) presentOwner(now model.Instant, f Fleet, v *slot) (model.HostID, bool) {
	if v.lease != nil {
		return s.self.ID, true
	}
	isHeard := !v.owner.IsZero() && v.owner != s.self && now < v.heardAt.Add(silence)
	return v.owner.ID, isHeard && !hasEnded(f, v.owner, v.heardAt)
}

// best returns the first host in rank for which keep is true.
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

// compare leaves the hash, which costs the most, to hosts that are otherwise
// equal.
func (r ranking) compare(id model.SlotID, a, b *Member) int {
	if c := cmp.Compare(distance(id, a), distance(id, b)); c != 0 {
		return c
	}
	if c := cmp.Compare(r.held[a.Ref.ID], r.held[b.Ref.ID]); c != 0 {
		return c
	}
	return cmp.Compare(score(id, a.Ref.ID), score(id, b.Ref.ID))
}

// isBetter reports whether moving the slot from one host to another improves
// the balance by more than the move itself undoes.
func (r ranking) isBetter(id model.SlotID, from, to *Member) bool {
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

// score is the rendezvous hash of a slot and a host.
func score(id model.SlotID, host model.HostID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id.Domain))
	h.Write([]byte{0, byte(id.Index), byte(id.Index >> 8), 0})
	h.Write([]byte(host))
	return mix(h.Sum64())
}

// mix spreads the difference of similar inputs over all bits; FNV alone leaves
// the high bits of short strings alike. Constants of splitmix64's finalizer.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// planned returns the vacant slots that this host is to claim. Hosts with the
// same knowledge come to the same plan.
func (s *State) planned(now model.Instant, f Fleet) []*slot {
	var mine []*slot
	vacant := s.vacant(now, f)
	if len(vacant) == 0 {
		return nil
	}
	r := s.ranking(now, f)
	for _, v := range vacant {
		best, ok := r.best(v.id, func(m *Member) bool { return m.Live })
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

func (s *State) vacant(now model.Instant, f Fleet) []*slot {
	var vacant []*slot
	for _, id := range s.order {
		if _, ok := s.presentOwner(now, f, s.slots[id]); !ok {
			vacant = append(vacant, s.slots[id])
		}
	}
	return vacant
}
