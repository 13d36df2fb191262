package slot

import (
	"cmp"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// Lease is how long a renewal lasts, counted from before it was sent.
	Lease = 4 * time.Second
	// Grace is added to Lease before a claim.
	Grace = 2 * time.Second
	// Guard is what must be left of an owner's authority when it acts.
	Guard = 500 * time.Millisecond
	// silence is how long an owner is not heard of before a claim begins.
	silence = 3 * time.Second
	// renewEvery is the time from one renewal to the next.
	renewEvery = 1300 * time.Millisecond
	// retryEvery is the time between attempts at the store and at peers.
	retryEvery = 500 * time.Millisecond
	// askEvery is the time between questions to the host of a silent owner.
	askEvery = 200 * time.Millisecond
	// intentMemory is how long an intent is passed on: longer than any claim
	// and any handover take.
	intentMemory = 2 * time.Minute
)

// Member is an entry host as a candidate for slots.
type Member struct {
	Ref    model.HostRef
	Domain model.DomainID
	Live   bool // may be heard; a candidate for claims
	Heard  bool // was heard; a candidate for handovers and relays
	// HeardAt is no later than when Ref was last alive; 0: not known.
	HeardAt model.Instant
	// Staying is false for a host that is leaving or stopping.
	Staying bool
}

// Fleet is what membership knows at the time of a call.
type Fleet struct {
	Members []Member // in order of id, this host included
	// MajorityUntil is the instant until which more than half are heard.
	MajorityUntil model.Instant
}

// member returns the member with an id. It reports false where there is none.
func (f Fleet) member(id model.HostID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(f.Members, id, func(m Member, id model.HostID) int {
		return cmp.Compare(m.Ref.ID, id)
	})
	if !ok {
		return Member{}, false
	}
	return f.Members[i], true
}

// State is a host's knowledge of all slots and its ownership of some. Make it
// with New.
type State struct {
	self    model.HostRef
	started model.Instant
	slots   map[model.SlotID]*slot
	order   []model.SlotID
	relays  map[model.SlotID]relay
	serial  uint64 // of intents, offers and relay asks
	// majorityUntil is the Fleet's at the last call.
	majorityUntil model.Instant
	stopping      bool
	rebalancedAt  model.Instant
	out           []Result
}

type slot struct {
	id model.SlotID
	// owner, term and heardAt are the newest announcement.
	owner   model.HostRef
	term    uint64
	heardAt model.Instant
	// intentAt is no earlier than the newest known intent was received.
	intentKnown bool
	intentAt    model.Instant

	lease    *lease    // of this host
	claim    *claim    // by this host
	handover *handover // from this host
	incoming *incoming // to this host
}

// New returns the state of a process that started now.
func New(self model.HostRef, now model.Instant) *State {
	return &State{
		self:    self,
		started: now,
		slots:   make(map[model.SlotID]*slot),
		relays:  make(map[model.SlotID]relay),
	}
}

// SetSlots takes the slots of the configuration. Slots that are gone from it
// are given up.
func (s *State) SetSlots(now model.Instant, ids []model.SlotID) {
	wanted := make(map[model.SlotID]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
		s.slot(id)
	}
	for _, id := range s.order {
		if !wanted[id] {
			s.lose(s.slots[id], false)
			delete(s.slots, id)
		}
	}
	s.order = slices.Clone(ids)
}

func (s *State) slot(id model.SlotID) *slot {
	v, ok := s.slots[id]
	if !ok {
		v = &slot{id: id, heardAt: s.started}
		s.slots[id] = v
	}
	return v
}

// Take returns the results since the last call.
func (s *State) Take() []Result {
	out := s.out
	s.out = nil
	return out
}

func (s *State) emit(r Result) { s.out = append(s.out, r) }

func (s *State) nextSerial() uint64 {
	s.serial++
	return s.serial
}

// Owner returns the newest known owner of a slot. It reports false when none
// is known.
func (s *State) Owner(id model.SlotID) (model.HostRef, bool) {
	v, ok := s.slots[id]
	if !ok {
		return model.HostRef{}, false
	}
	if v.lease != nil && v.handover == nil {
		return s.self, true
	}
	return v.owner, !v.owner.IsZero() && v.owner != s.self
}

// Owned is what an owner needs to know of its term.
type Owned struct {
	Term       uint64
	Continuous bool
	// Began and BeganWall are when this host's term began.
	Began     model.Instant
	BeganWall model.WallTime
}

// Owns returns the term of a slot that this host owns at the given instant,
// with Guard to spare. It reports false otherwise.
func (s *State) Owns(now model.Instant, id model.SlotID) (Owned, bool) {
	v, ok := s.slots[id]
	if !ok || v.lease == nil || v.handover != nil {
		return Owned{}, false
	}
	if now.Add(Guard) >= s.until(v) {
		return Owned{}, false
	}
	return v.lease.owned, true
}

// Status is a slot that this host holds.
type Status struct {
	Slot  model.SlotID
	Term  uint64
	Until model.Instant
}

// Held returns the slots that this host holds, whether or not its authority
// has run out, in order.
func (s *State) Held() []Status {
	var held []Status
	for _, id := range s.order {
		if v := s.slots[id]; v.lease != nil {
			held = append(held, Status{id, v.lease.record.Term, s.until(v)})
		}
	}
	return held
}

// Announce returns what is known of the owners of slots and of intents, for a
// heartbeat.
func (s *State) Announce(now model.Instant) ([]message.SlotOwned, []message.IntentHeard) {
	var owned []message.SlotOwned
	var intents []message.IntentHeard
	for _, id := range s.order {
		v := s.slots[id]
		if o, ok := s.announcement(now, v); ok {
			owned = append(owned, o)
		}
		if v.intentKnown && v.intentAt.Add(intentMemory) > now {
			intents = append(intents, message.IntentHeard{Slot: id, Age: now.Sub(v.intentAt)})
		}
	}
	return owned, intents
}

func (s *State) announcement(now model.Instant, v *slot) (message.SlotOwned, bool) {
	if _, ok := s.Owns(now, v.id); ok {
		return message.SlotOwned{Slot: v.id, Owner: s.self, Term: v.lease.record.Term}, true
	}
	if v.owner.IsZero() || v.owner == s.self {
		return message.SlotOwned{}, false
	}
	return message.SlotOwned{Slot: v.id, Owner: v.owner, Term: v.term, Age: now.Sub(v.heardAt)}, true
}

// Heard takes the announcements and intents of a heartbeat. It does not add
// the time on the way, so intents count as newer than they are, which is safe.
func (s *State) Heard(now model.Instant, m message.Heartbeat) {
	for _, i := range m.Intents {
		s.hearIntent(s.slots[i.Slot], now.Add(-i.Age))
	}
	for _, o := range m.Slots {
		if v, ok := s.slots[o.Slot]; ok && o.Owner != s.self {
			s.hearOwner(v, o.Owner, o.Term, now.Add(-o.Age))
		}
	}
}

func (s *State) hearIntent(v *slot, at model.Instant) {
	if v == nil || (v.intentKnown && v.intentAt >= at) {
		return
	}
	v.intentKnown, v.intentAt = true, at
}

func (s *State) hearOwner(v *slot, owner model.HostRef, term uint64, at model.Instant) {
	if term < v.term {
		return
	}
	if term > v.term {
		v.owner, v.term, v.heardAt = owner, term, at
	}
	v.heardAt = max(v.heardAt, at)
	if v.lease != nil && v.lease.record.Term < term {
		s.lose(v, v.handover != nil)
	}
}

// lose ends this host's ownership, if any.
func (s *State) lose(v *slot, handedOver bool) {
	hadLease := v.lease != nil
	v.lease, v.handover, v.claim = nil, nil, nil
	if hadLease {
		s.emit(Lost{Slot: v.id, HandedOver: handedOver})
	}
}

func (s *State) acquire(now model.Instant, wall model.WallTime, v *slot, l *lease) {
	l.owned = Owned{
		Term:       l.record.Term,
		Continuous: l.record.Continuous,
		Began:      now,
		BeganWall:  wall,
	}
	v.lease, v.claim, v.handover = l, nil, nil
	v.owner, v.term, v.heardAt = s.self, l.record.Term, now
}

// members returns the members other than this host for which keep is true.
func (s *State) members(f Fleet, keep func(Member) bool) []Member {
	var kept []Member
	for _, m := range f.Members {
		if m.Ref.ID != s.self.ID && keep(m) {
			kept = append(kept, m)
		}
	}
	return kept
}
