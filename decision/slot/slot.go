package slot

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// LeaseDuration is how long a renewal is valid, counted from before it was
	// sent.
	LeaseDuration = 4 * time.Second
	// ClaimGrace is what a claimant waits in addition to LeaseDuration.
	ClaimGrace = 2 * time.Second
	// Guard is the margin before the end of an owner's authority in which it
	// does not act any more.
	Guard = 500 * time.Millisecond
	// ownerTimeout is how long nothing may be heard of an owner before other
	// hosts treat its slot as vacant and claim it.
	ownerTimeout = 3 * time.Second
	// renewInterval is the time from one successful renewal to the next.
	renewInterval = 1300 * time.Millisecond
	// retryInterval is the time between attempts at the store and at peers.
	retryInterval = 500 * time.Millisecond
	// probeInterval is the time between probes of the host of a silent owner.
	probeInterval = 200 * time.Millisecond
	// probeTimeout is how long the host of a silent owner is probed before other
	// hosts are asked to acknowledge a claim. In a large fleet news of an owner may
	// take longer than ownerTimeout to reach each host.
	probeTimeout = 500 * time.Millisecond
	// intentRetention is how long an intent is passed on in heartbeats: longer
	// than any claim and any handover take.
	intentRetention = 2 * time.Minute
)

// Member is an entry host as a candidate owner of slots. It mirrors
// membership.Member.
type Member struct {
	Ref           model.HostRef
	Domain        model.DomainID
	PresumedAlive bool // a candidate for claims
	Alive         bool // a candidate for handovers and relays
	// LastAliveAt is no later than when the process Ref was last alive; 0: not
	// known.
	LastAliveAt model.Instant
	// Staying is false for a host that is leaving or stopping.
	Staying bool
}

// Fleet is what membership knows at the time of a call.
type Fleet struct {
	Members []Member // in order of id, this host included
	// MajorityUntil is the instant until which there is evidence that more than
	// half of the hosts are alive.
	MajorityUntil model.Instant
}

// member returns the member with the given id. It reports false where there is
// none.
func (f Fleet) member(id model.HostID) (Member, bool) {
	i, ok := slices.BinarySearchFunc(f.Members, id, func(m Member, id model.HostID) int {
		return cmp.Compare(m.Ref.ID, id)
	})
	if !ok {
		return Member{}, false
	}
	return f.Members[i], true
}

// State is what a host knows of all slots, and its own leases, claims and
// handovers. Make it with New.
type State struct {
	self    model.HostRef
	started model.Instant
	slots   map[model.SlotID]*slot
	order   []model.SlotID         // the configured slots
	relays  map[model.SlotID]relay // renewals for peers that wait for the store
	serial  uint64                 // last number of an intent, an offer or a relayed renewal
	// restores is the highest known number of times that the store has come back from an
	// older copy.
	restores uint64
	// majorityUntil is Fleet.MajorityUntil at the last call of UpdateMajority.
	majorityUntil model.Instant
	stopping      bool
	rebalancedAt  model.Instant
	results       []Result
}

type slot struct {
	id model.SlotID
	// The newest known owner, its term, and when it last announced itself, as
	// far as known; the start of this process if it never did.
	owner       model.HostRef
	term        uint64
	ownerSeenAt model.Instant
	// The newest known ClaimIntent and an instant no earlier than when a host
	// received it.
	intentKnown bool
	intentAt    model.Instant

	lease    *lease         // of this host; nil: not the owner
	claim    *claim         // under way at this host
	handover *handover      // under way, from this host
	received *receivedOffer // offer made to this host
}

// New returns the state of a process that started now.
func New(self model.HostRef, now model.Instant) *State {
	return &State{
		self:    self,
		started: now,
		slots:   make(map[model.SlotID]*slot),
		relays:  make(map[model.SlotID]relay),
		// Numbers of an earlier process of this host, to which answers may still be on
		// their way, are lower.
		serial: self.Incarnation,
	}
}

// SetSlots sets the slots of the configuration. Ownership of slots that are not
// in it any more ends at once.
func (s *State) SetSlots(now model.Instant, ids []model.SlotID) {
	wanted := make(map[model.SlotID]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
		s.slot(id)
	}
	for _, id := range s.order {
		if !wanted[id] {
			s.dropOwnership(s.slots[id], false)
		}
	}
	maps.DeleteFunc(s.slots, func(id model.SlotID, _ *slot) bool { return !wanted[id] })
	s.order = slices.Clone(ids)
}

// slot returns the state of a slot and creates it where needed.
func (s *State) slot(id model.SlotID) *slot {
	v, ok := s.slots[id]
	if !ok {
		v = &slot{id: id, ownerSeenAt: s.started}
		s.slots[id] = v
	}
	return v
}

// DrainResults returns and clears the results since the last call.
func (s *State) DrainResults() []Result {
	out := s.results
	s.results = nil
	return out
}

func (s *State) emit(r Result) { s.results = append(s.results, r) }

// nextSerial returns a new number for an intent, an offer or a relayed renewal.
func (s *State) nextSerial() uint64 {
	s.serial++
	return s.serial
}

// Owner returns the newest known owner of a slot. It reports false when none is
// known, and while this host hands the slot over.
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

// Owned describes this host's term as the owner of a slot.
type Owned struct {
	Term uint64
	// Continuous is true where the state of all earlier terms is at hand.
	Continuous bool
	// Began and BeganWall are when this host's term began.
	Began     model.Instant
	BeganWall model.WallTime
}

// Owns returns the term of a slot if this host is its owner and its authority
// lasts beyond the given instant by more than Guard. It reports false
// otherwise.
func (s *State) Owns(now model.Instant, id model.SlotID) (Owned, bool) {
	v, ok := s.slots[id]
	if !ok || v.lease == nil || v.handover != nil {
		return Owned{}, false
	}
	if now.Add(Guard) >= s.authorityUntil(v) {
		return Owned{}, false
	}
	return v.lease.owned, true
}

// Status is a slot that this host holds and the end of its authority.
type Status struct {
	Slot  model.SlotID
	Term  uint64
	Until model.Instant
}

// Held returns the slots of which this host holds the lease, in order. Its
// authority over them may have run out.
func (s *State) Held() []Status {
	var held []Status
	for _, id := range s.order {
		if v := s.slots[id]; v.lease != nil {
			held = append(held, Status{id, v.lease.record.Term, s.authorityUntil(v)})
		}
	}
	return held
}

// Announce returns the known owners of slots and the known intents, for a
// heartbeat.
func (s *State) Announce(now model.Instant) ([]message.SlotOwned, []message.IntentAge) {
	var owned []message.SlotOwned
	var intents []message.IntentAge
	for _, id := range s.order {
		v := s.slots[id]
		if o, ok := s.announcement(now, v); ok {
			owned = append(owned, o)
		}
		if v.intentKnown && v.intentAt.Add(intentRetention) > now {
			intents = append(intents, message.IntentAge{Slot: id, Age: now.Sub(v.intentAt)})
		}
	}
	return owned, intents
}

// announcement returns what this host announces about a slot's owner. It
// reports false where it knows of none.
func (s *State) announcement(now model.Instant, v *slot) (message.SlotOwned, bool) {
	if _, ok := s.Owns(now, v.id); ok {
		return message.SlotOwned{Slot: v.id, Owner: s.self, Term: v.lease.record.Term}, true
	}
	if v.owner.IsZero() || v.owner == s.self {
		return message.SlotOwned{}, false
	}
	return message.SlotOwned{Slot: v.id, Owner: v.owner, Term: v.term, Age: now.Sub(v.ownerSeenAt)}, true
}

// HandleHeartbeat handles the announcements and intents in a heartbeat. It does
// not add the time that the heartbeat was under way: intents therefore count as
// newer than they are, which is safe.
func (s *State) HandleHeartbeat(now model.Instant, m message.Heartbeat) {
	for _, i := range m.Intents {
		s.recordIntent(s.slots[i.Slot], now.Add(-i.Age))
	}
	for _, o := range m.Slots {
		if v, ok := s.slots[o.Slot]; ok && o.Owner != s.self {
			s.recordOwner(v, o.Owner, o.Term, now.Add(-o.Age))
		}
	}
}

// recordIntent updates the newest known intent of a slot.
func (s *State) recordIntent(v *slot, at model.Instant) {
	if v == nil || (v.intentKnown && v.intentAt >= at) {
		return
	}
	v.intentKnown, v.intentAt = true, at
}

// recordOwner updates the newest known owner of a slot, and ends this host's
// own ownership where that has an earlier term.
func (s *State) recordOwner(v *slot, owner model.HostRef, term uint64, at model.Instant) {
	if term < v.term {
		return
	}
	if term > v.term {
		v.owner, v.term, v.ownerSeenAt = owner, term, at
	}
	v.ownerSeenAt = max(v.ownerSeenAt, at)
	if v.lease != nil && v.lease.record.Term < term {
		s.dropOwnership(v, v.handover != nil)
	}
}

// dropOwnership ends this host's ownership of a slot and its claim, if any.
func (s *State) dropOwnership(v *slot, handedOver bool) {
	hadLease := v.lease != nil
	v.lease, v.handover, v.claim = nil, nil, nil
	if hadLease {
		s.emit(Lost{Slot: v.id, HandedOver: handedOver})
	}
}

// acquire starts this host's term as the owner of a slot.
func (s *State) acquire(now model.Instant, wall model.WallTime, v *slot, l *lease) {
	l.owned = Owned{
		Term:       l.record.Term,
		Continuous: l.record.Continuous,
		Began:      now,
		BeganWall:  wall,
	}
	v.lease, v.claim, v.handover = l, nil, nil
	v.owner, v.term, v.ownerSeenAt = s.self, l.record.Term, now
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
