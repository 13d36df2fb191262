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
	// Window is how old evidence may be. At three heartbeats a second and 20 %
	// lost exchanges, an age reaches nine in ten of 40 hosts within 2.5 s.
	Window = 4 * time.Second
	// youth is how long a new process does not count as evidence: longer than
	// a claimant waits after acknowledgements, because its earlier life may
	// have acknowledged an intent.
	youth = 14 * time.Second
	// staleAfter, newerBy and askBackEvery limit asking back to hosts that are
	// about to lose sight of the store.
	staleAfter   = 1500 * time.Millisecond
	newerBy      = 500 * time.Millisecond
	askBackEvery = 300 * time.Millisecond
)

// State is what a host knows of the other entry hosts. Make it with New.
type State struct {
	self    model.HostRef
	domain  model.DomainID
	started model.Instant

	listed bool
	hosts  map[model.HostID]*host // listed ones and self
	order  []model.HostID         // keys of hosts, sorted

	sequence    uint64
	askedBackAt model.Instant
	asked       map[uint64]model.Instant // own heartbeats that may be answered

	storeKnown bool
	storeOwn   bool
	storeAt    model.Instant // no later than the newest store answer known

	heardAt []model.Instant // scratch space of MajorityUntil
}

type host struct {
	entry    model.HostEntry
	listedAt model.Instant
	known    bool // at, ref and young are set
	at       model.Instant
	ref      model.HostRef
	young    bool // alive, but no evidence
	stopping bool
}

// New returns the state of a process that started now.
func New(self model.HostRef, domain model.DomainID, now model.Instant) *State {
	return &State{
		self:    self,
		domain:  domain,
		started: now,
		hosts:   make(map[model.HostID]*host),
		asked:   make(map[uint64]model.Instant),
	}
}

// SetHosts takes the platform's host list. This host counts as listed even
// where the list does not name it yet.
func (s *State) SetHosts(now model.Instant, entries []model.HostEntry) {
	s.listed = true
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

func (s *State) listedHost(now model.Instant, e model.HostEntry) *host {
	h, ok := s.hosts[model.HostID(e.ID)]
	if !ok {
		h = &host{listedAt: now}
	}
	h.entry = e
	return h
}

// Ask chooses a peer and returns the heartbeat that asks it for an answer. It
// reports false when there is no peer.
func (s *State) Ask(now model.Instant, rand *rand.Rand) (model.HostID, message.Heartbeat, bool) {
	s.forgetAsked(now)
	peer, ok := s.randomPeer(rand)
	if !ok {
		return "", message.Heartbeat{}, false
	}
	return peer, s.AskOne(now), true
}

// AskOne returns a heartbeat that asks a certain peer for an answer.
func (s *State) AskOne(now model.Instant) message.Heartbeat {
	s.sequence++
	s.asked[s.sequence] = now
	return message.Heartbeat{Sequence: s.sequence, StoreAge: s.storeAge(now)}
}

// AskBack returns a heartbeat that asks the sender of another for an answer,
// where that sender knows of a much newer store answer. It reports false
// otherwise. What is pushed in an ask is no evidence, because its age is not
// bounded; but asking back makes news spread twice as fast as asking at random.
func (s *State) AskBack(now model.Instant, asked message.Heartbeat) (message.Heartbeat, bool) {
	own := s.storeAge(now)
	isOld := !s.storeKnown || own > max(staleAfter, asked.StoreAge+newerBy)
	if asked.StoreAge < 0 || !isOld || now < s.askedBackAt.Add(askBackEvery) {
		return message.Heartbeat{}, false
	}
	s.askedBackAt = now
	return s.AskOne(now), true
}

func (s *State) forgetAsked(now model.Instant) {
	for sequence, at := range s.asked {
		if at.Add(Window) <= now {
			delete(s.asked, sequence)
		}
	}
}

func (s *State) randomPeer(rand *rand.Rand) (model.HostID, bool) {
	if len(s.order) < 2 {
		return "", false
	}
	i := rand.IntN(len(s.order))
	if s.order[i] == s.self.ID {
		i = (i + 1) % len(s.order)
	}
	return s.order[i], true
}

// Answer returns the answer to a peer's heartbeat: everything known here.
func (s *State) Answer(now model.Instant, asked message.Heartbeat) message.Heartbeat {
	s.sequence++
	return message.Heartbeat{
		Sequence: s.sequence,
		Echo:     asked.Sequence,
		Young:    now < s.started.Add(youth),
		StoreAge: s.storeAge(now),
		Hosts:    s.ages(now),
	}
}

// ages returns the freshest ages of other hosts, none older than Window.
func (s *State) ages(now model.Instant) []message.HostAge {
	ages := make([]message.HostAge, 0, len(s.order))
	for _, id := range s.order {
		h := s.hosts[id]
		if h.isHeard(now) {
			ages = append(ages, message.HostAge{Host: h.ref, Age: now.Sub(h.at), Young: h.young})
		}
	}
	slices.SortStableFunc(ages, func(a, b message.HostAge) int { return int(a.Age - b.Age) })
	return ages[:min(len(ages), message.MaxHostAges)]
}

func (s *State) storeAge(now model.Instant) time.Duration {
	if !s.storeKnown {
		return -1
	}
	return now.Sub(s.storeAt)
}

// Heard takes a heartbeat of a peer. Only answers count as evidence.
func (s *State) Heard(now model.Instant, from model.HostRef, m message.Heartbeat) {
	if h, ok := s.hosts[from.ID]; ok {
		h.stopping = m.Stopping
	}
	sentAfter, ok := s.AskedAt(now, m.Echo)
	if !ok {
		return
	}
	s.heard(from, sentAfter, m.Young)
	for _, a := range m.Hosts {
		if a.Age >= 0 && a.Age < Window {
			s.heard(a.Host, sentAfter.Add(-a.Age), a.Young)
		}
	}
	if m.StoreAge >= 0 {
		s.stamp(sentAfter.Add(-m.StoreAge), false)
	}
}

// AskedAt returns when the heartbeat with the given sequence asked for an
// answer. It reports false where it did not, or too long ago.
func (s *State) AskedAt(now model.Instant, echo uint64) (model.Instant, bool) {
	sentAfter, ok := s.asked[echo]
	return sentAfter, ok && echo != 0 && sentAfter.Add(Window) > now
}

func (s *State) heard(ref model.HostRef, at model.Instant, young bool) {
	h, ok := s.hosts[ref.ID]
	if !ok || ref.ID == s.self.ID || (h.known && h.at >= at) {
		return
	}
	h.known, h.at, h.ref, h.young = true, at, ref, young
}

// StoreReached says that the store answered a call of this host that left at
// the given instant.
func (s *State) StoreReached(at model.Instant) { s.stamp(at, true) }

func (s *State) stamp(at model.Instant, own bool) {
	if !s.storeKnown || at > s.storeAt {
		s.storeKnown, s.storeAt, s.storeOwn = true, at, own
	}
}

// StoreStamp is the newest store answer known. The zero value says that none
// is.
type StoreStamp struct {
	Known bool
	At    model.Instant // no later than the answer
	Own   bool          // this host got it, and has heard of no newer one
}

// StoreStamp returns the newest store answer known.
func (s *State) StoreStamp() StoreStamp { return StoreStamp{s.storeKnown, s.storeAt, s.storeOwn} }

// Member is a listed entry host.
type Member struct {
	Ref    model.HostRef // zero incarnation while not heard
	Domain model.DomainID
	// Live hosts were heard within Window, or were listed so recently that
	// they may not have been heard yet.
	Live  bool
	Heard bool // within Window
	// HeardAt is no later than when Ref was last alive; 0 where it was not
	// heard.
	HeardAt model.Instant
	// Staying hosts are neither leaving nor stopping.
	Staying bool
}

// Members returns the listed entry hosts by id, this one included. It is empty
// before the first list.
func (s *State) Members(now model.Instant) []Member {
	members := make([]Member, 0, len(s.order))
	for _, id := range s.order {
		members = append(members, s.member(now, id))
	}
	return members
}

// IsHeard reports whether a listed host was heard within Window.
func (s *State) IsHeard(now model.Instant, id model.HostID) bool {
	h, ok := s.hosts[id]
	return ok && h.isHeard(now)
}

func (h *host) isHeard(now model.Instant) bool { return h.known && h.at.Add(Window) > now }

func (s *State) member(now model.Instant, id model.HostID) Member {
	h := s.hosts[id]
	m := Member{
		Ref:     h.ref,
		Domain:  h.entry.Domain,
		Heard:   h.isHeard(now),
		Staying: !h.entry.Leaving && !h.stopping,
	}
	if h.known {
		m.HeardAt = h.at
	}
	m.Live = m.Heard || h.listedAt.Add(Window) > now
	m.Ref.ID = id
	if id == s.self.ID {
		m.Ref, m.Live, m.Heard, m.HeardAt = s.self, true, true, now
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
