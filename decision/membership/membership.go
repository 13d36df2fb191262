package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// EvidenceWindow is how old evidence may be. At three heartbeats a second
	// and 20 % lost exchanges, an age reaches nine in ten of 40 hosts within
	// 2.5 s.
	EvidenceWindow = 4 * time.Second
	// probation is how long after its start a process does not count as
	// evidence, which it announces as Heartbeat.Young. It is longer than a
	// claimant waits after the acknowledgements, because the host's previous
	// process may have acknowledged an intent that this one does not know.
	probation = 14 * time.Second
	// ProbeBack probes the sender only if this host's last contact with the
	// store is older than staleStoreAge and by more than minStoreAgeGain older
	// than the sender's, and at most once in probeBackInterval. This limits it
	// to hosts whose evidence of the store is about to become too old.
	staleStoreAge     = 1500 * time.Millisecond
	minStoreAgeGain   = 500 * time.Millisecond
	probeBackInterval = 300 * time.Millisecond
)

// State is what a host knows of the entry hosts and the store. Make it with
// New.
type State struct {
	self    model.HostRef
	domain  model.DomainID
	started model.Instant

	hasList  bool                   // SetHosts was called
	hosts    map[model.HostID]*host // listed hosts and this one
	order    []model.HostID         // keys of hosts, sorted
	unprobed []model.HostID         // peers not probed yet in this round, in random order

	sequence     uint64 // of the last heartbeat
	probedBackAt model.Instant
	probes       map[uint64]model.Instant // when own heartbeats that may be answered were sent, by sequence

	storeKnown bool
	storeOwn   bool          // storeAt is from a call of this host
	storeAt    model.Instant // no later than the newest known answer of the store

	aliveTimes []model.Instant // buffer of MajorityUntil
}

type host struct {
	entry       model.HostEntry
	listedAt    model.Instant
	isKnown     bool          // aliveAt, ref and onProbation are set
	aliveAt     model.Instant // no later than when ref was last alive
	ref         model.HostRef
	onProbation bool // alive, but does not count as evidence
	stopping    bool
}

// New returns the state of a process that started at now.
func New(self model.HostRef, domain model.DomainID, now model.Instant) *State {
	return &State{
		self:    self,
		domain:  domain,
		started: now,
		hosts:   make(map[model.HostID]*host),
		probes:  make(map[uint64]model.Instant),
	}
}

// SetHosts sets the platform's host list. This host counts as listed even where
// the list does not name it yet.
func (s *State) SetHosts(now model.Instant, entries []model.HostEntry) {
	s.hasList = true
	hosts := make(map[model.HostID]*host, len(entries))
	for _, e := range entries {
		if e.Role == model.RoleEntry {
			hosts[model.HostID(e.ID)] = s.listedHost(now, e)
		}
	}
	if _, ok := hosts[s.self.ID]; !ok {
		self := model.HostEntry{ID: string(s.self.ID), Role: model.RoleEntry, Domain: s.domain}
		hosts[s.self.ID] = s.listedHost(now, self)
	}
	s.hosts = hosts
	s.order = slices.Sorted(maps.Keys(hosts))
}

// listedHost returns the state of a host with its new entry in the list.
func (s *State) listedHost(now model.Instant, e model.HostEntry) *host {
	h, ok := s.hosts[model.HostID(e.ID)]
	if !ok {
		h = &host{listedAt: now}
	}
	h.entry = e
	return h
}

// ProbeNextPeer returns the peer to probe next and the heartbeat to send to it.
// It reports false when there is no peer. Peers are probed in rounds, each in a
// new random order. Independent draws would leave a peer of a small fleet without
// a probe for EvidenceWindow now and then.
func (s *State) ProbeNextPeer(now model.Instant, rand *rand.Rand) (model.HostID, message.Heartbeat, bool) {
	s.pruneProbes(now)
	peer, ok := s.nextPeer(rand)
	if !ok {
		return "", message.Heartbeat{}, false
	}
	return peer, s.Probe(now), true
}

// Probe returns a heartbeat that requests an answer from one peer.
func (s *State) Probe(now model.Instant) message.Heartbeat {
	s.sequence++
	s.probes[s.sequence] = now
	return message.Heartbeat{Sequence: s.sequence, StoreAge: s.storeAge(now)}
}

// ProbeBack returns a heartbeat to the sender of the received one, if the sender
// knows of a much newer answer of the store than this host. It reports false
// otherwise. The age in the received heartbeat is no evidence itself, because
// nothing bounds how long the heartbeat was under way; the answer is. Probing
// back makes news spread twice as fast as probing at random does.
func (s *State) ProbeBack(now model.Instant, received message.Heartbeat) (message.Heartbeat, bool) {
	age := s.storeAge(now)
	isOld := !s.storeKnown || age > max(staleStoreAge, received.StoreAge+minStoreAgeGain)
	if received.StoreAge < 0 || !isOld || now < s.probedBackAt.Add(probeBackInterval) {
		return message.Heartbeat{}, false
	}
	s.probedBackAt = now
	return s.Probe(now), true
}

// pruneProbes forgets heartbeats whose answer would be too old.
func (s *State) pruneProbes(now model.Instant) {
	for sequence, at := range s.probes {
		if at.Add(EvidenceWindow) <= now {
			delete(s.probes, sequence)
		}
	}
}

func (s *State) nextPeer(rand *rand.Rand) (model.HostID, bool) {
	isRemoved := func(id model.HostID) bool { return s.hosts[id] == nil }
	s.unprobed = slices.DeleteFunc(s.unprobed, isRemoved)
	if len(s.unprobed) == 0 {
		s.unprobed = s.Peers()
		rand.Shuffle(len(s.unprobed), func(i, j int) { s.unprobed[i], s.unprobed[j] = s.unprobed[j], s.unprobed[i] })
	}
	if len(s.unprobed) == 0 {
		return "", false
	}
	next := s.unprobed[0]
	s.unprobed = s.unprobed[1:]
	return next, true
}

// Answer returns the answer to a peer's heartbeat, with all evidence that this
// host has.
func (s *State) Answer(now model.Instant, probe message.Heartbeat) message.Heartbeat {
	s.sequence++
	return message.Heartbeat{
		Sequence: s.sequence,
		Echo:     probe.Sequence,
		Young:    now < s.started.Add(probation),
		StoreAge: s.storeAge(now),
		Hosts:    s.ages(now),
	}
}

// ages returns the ages of the hosts that count as alive, the freshest first,
// at most message.MaxHostAges.
func (s *State) ages(now model.Instant) []message.HostAge {
	ages := make([]message.HostAge, 0, len(s.order))
	for _, id := range s.order {
		h := s.hosts[id]
		if h.isAlive(now) {
			ages = append(ages, message.HostAge{Host: h.ref, Age: now.Sub(h.aliveAt), Young: h.onProbation})
		}
	}
	slices.SortStableFunc(ages, func(a, b message.HostAge) int { return int(a.Age - b.Age) })
	return ages[:min(len(ages), message.MaxHostAges)]
}

// storeAge returns the age of the newest known answer of the store, -1 if there
// is none.
func (s *State) storeAge(now model.Instant) time.Duration {
	if !s.storeKnown {
		return -1
	}
	return now.Sub(s.storeAt)
}

// HandleHeartbeat handles a heartbeat of a peer. Only an answer to a heartbeat
// of this host counts as evidence.
func (s *State) HandleHeartbeat(now model.Instant, from model.HostRef, m message.Heartbeat) {
	if h, ok := s.hosts[from.ID]; ok {
		h.stopping = m.Stopping
	}
	sentAfter, ok := s.ProbeSentAt(now, m.Echo)
	if !ok {
		return
	}
	s.recordAlive(from, sentAfter, m.Young)
	for _, a := range m.Hosts {
		if a.Age >= 0 && a.Age < EvidenceWindow {
			s.recordAlive(a.Host, sentAfter.Add(-a.Age), a.Young)
		}
	}
	if m.StoreAge >= 0 {
		s.recordStoreContact(sentAfter.Add(-m.StoreAge), false)
	}
}

// ProbeSentAt returns when this host sent the heartbeat that a peer's answer
// echoes. It reports false where there was none, or too long ago.
func (s *State) ProbeSentAt(now model.Instant, echo uint64) (model.Instant, bool) {
	sentAfter, ok := s.probes[echo]
	return sentAfter, ok && echo != 0 && sentAfter.Add(EvidenceWindow) > now
}

// recordAlive updates when a host was last alive, if the evidence is newer.
func (s *State) recordAlive(ref model.HostRef, at model.Instant, onProbation bool) {
	h, ok := s.hosts[ref.ID]
	if !ok || ref.ID == s.self.ID || (h.isKnown && h.aliveAt >= at) {
		return
	}
	h.isKnown, h.aliveAt, h.ref, h.onProbation = true, at, ref, onProbation
}

// StoreReached records that the store has answered a call that this host sent
// at the given instant.
func (s *State) StoreReached(at model.Instant) { s.recordStoreContact(at, true) }

// recordStoreContact updates the newest answer of the store, if the evidence is
// newer.
func (s *State) recordStoreContact(at model.Instant, isOwn bool) {
	if !s.storeKnown || at > s.storeAt {
		s.storeKnown, s.storeAt, s.storeOwn = true, at, isOwn
	}
}

// StoreContact is the newest known answer of the store. In the zero value none
// is known.
type StoreContact struct {
	Known bool
	At    model.Instant // no later than the answer
	Own   bool          // the newest one known answered a call of this host
}

// LastStoreContact returns the newest known answer of the store.
func (s *State) LastStoreContact() StoreContact {
	return StoreContact{s.storeKnown, s.storeAt, s.storeOwn}
}

// Member is a listed entry host.
type Member struct {
	Ref    model.HostRef // the incarnation is 0 while there is no evidence of the host
	Domain model.DomainID
	// PresumedAlive is true for hosts that are Alive, or were listed so
	// recently that there may be no evidence of them yet.
	PresumedAlive bool
	Alive         bool // there is evidence within EvidenceWindow that the host was alive
	// LastAliveAt is no later than when the process Ref was last alive; 0 where
	// there is no evidence.
	LastAliveAt model.Instant
	// Staying is false for a host that is leaving or stopping.
	Staying bool
}

// Members returns the listed entry hosts by id, this one included. It is empty
// before the first call of SetHosts.
func (s *State) Members(now model.Instant) []Member {
	members := make([]Member, 0, len(s.order))
	for _, id := range s.order {
		members = append(members, s.member(now, id))
	}
	return members
}

// IsAlive reports whether there is evidence within EvidenceWindow that a listed
// host was alive.
func (s *State) IsAlive(now model.Instant, id model.HostID) bool {
	h, ok := s.hosts[id]
	return ok && h.isAlive(now)
}

// IsServing reports whether there is evidence within EvidenceWindow that a
// listed host was alive, and none that it is leaving or stopping.
func (s *State) IsServing(now model.Instant, id model.HostID) bool {
	h, ok := s.hosts[id]
	return ok && h.isAlive(now) && h.isStaying()
}

func (h *host) isStaying() bool { return !h.entry.Leaving && !h.stopping }

func (h *host) isAlive(now model.Instant) bool {
	return h.isKnown && h.aliveAt.Add(EvidenceWindow) > now
}

func (s *State) member(now model.Instant, id model.HostID) Member {
	h := s.hosts[id]
	m := Member{
		Ref:     h.ref,
		Domain:  h.entry.Domain,
		Alive:   h.isAlive(now),
		Staying: h.isStaying(),
	}
	if h.isKnown {
		m.LastAliveAt = h.aliveAt
	}
	m.PresumedAlive = m.Alive || h.listedAt.Add(EvidenceWindow) > now
	m.Ref.ID = id
	if id == s.self.ID {
		m.Ref, m.PresumedAlive, m.Alive, m.LastAliveAt = s.self, true, true, now
	}
	return m
}

// Peers returns the ids of the listed entry hosts other than this one.
func (s *State) Peers() []model.HostID {
	peers := make([]model.HostID, 0, len(s.order))
	for _, id := range s.order {
		if id != s.self.ID {
			peers = append(peers, id)
		}
	}
	return peers
}
