package broadcast

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

// relayPeriod is how long the same relays are used. A message to another relay
// opens a link to it, and links that few messages use would add up to one for
// each host of the fleet. Relays change so that a cut between this host and both
// relays of a domain does not last.
const relayPeriod = 20 * time.Second

// relaysPerDomain is how many hosts of each other domain get a copy to forward.
// With two, one that has just stopped does not keep the message from its
// domain.
const relaysPerDomain = 2

// State holds the hosts that messages go to, and which messages were received.
// Make it with New.
type State struct {
	domains       map[model.DomainID][]model.HostID // hosts of each failure domain, without this host
	sortedDomains []model.DomainID                  // keys of domains
	ownDomain     model.DomainID
	sequence      uint64
	relays        []model.HostID // in use until relaysUntil
	relaysUntil   model.Instant
	domainRelays  [][]model.HostID                 // relays by domain
	received      map[model.HostID]*receiveWindows // by origin
	domainHosts   []model.HostID                   // hosts of the own domain with this one, sorted
	batches       batches
}

// New returns a state without hosts.
func New() *State {
	return &State{received: make(map[model.HostID]*receiveWindows)}
}

// SetHosts sets the hosts from the host list. It forgets the messages of
// origins that are no longer listed.
func (s *State) SetHosts(self model.HostID, ownDomain model.DomainID, entries []model.HostEntry) {
	domainsBefore := len(s.sortedDomains)
	s.ownDomain = ownDomain
	s.domains = make(map[model.DomainID][]model.HostID)
	s.sortedDomains = s.sortedDomains[:0]
	listed := make(map[model.HostID]bool)
	for _, e := range entries {
		id := model.HostID(e.ID)
		if e.Role != model.RoleEntry || id == self {
			continue
		}
		if len(s.domains[e.Domain]) == 0 {
			s.sortedDomains = append(s.sortedDomains, e.Domain)
		}
		s.domains[e.Domain] = append(s.domains[e.Domain], id)
		listed[id] = true
	}
	slices.Sort(s.sortedDomains)
	s.domainHosts = slices.Sorted(slices.Values(append(slices.Clone(s.domains[ownDomain]), self)))
	isUnlisted := func(id model.HostID) bool { return !listed[id] }
	if len(s.sortedDomains) != domainsBefore || slices.ContainsFunc(s.relays, isUnlisted) {
		s.relaysUntil = 0
	}
	for id := range s.received {
		if !listed[id] {
			delete(s.received, id)
		}
	}
}

// NextSequence returns the sequence number for a new message of this host.
func (s *State) NextSequence() uint64 {
	s.sequence++
	return s.sequence
}

// DomainPeers returns the other hosts of this host's failure domain.
func (s *State) DomainPeers() []model.HostID { return s.domains[s.ownDomain] }

// Relays returns the hosts of the other domains that are to forward a message.
// They are chosen at random for relayPeriod, preferring hosts for which isAlive is
// true, and again when a relay is no longer listed or alive.
func (s *State) Relays(now model.Instant, rnd *rand.Rand, isAlive func(model.HostID) bool) []model.HostID {
	if now < s.relaysUntil && !slices.ContainsFunc(s.relays, func(id model.HostID) bool { return !isAlive(id) }) {
		return s.relays
	}
	s.relays = s.relays[:0]
	s.domainRelays = s.domainRelays[:0]
	s.relaysUntil = now.Add(relayPeriod)
	for _, domain := range s.sortedDomains {
		if domain != s.ownDomain {
			relays := pickRelays(rnd, s.domains[domain], isAlive)
			s.relays = append(s.relays, relays...)
			s.domainRelays = append(s.domainRelays, relays)
		}
	}
	return s.relays
}

// pickRelays returns up to relaysPerDomain random hosts, preferring those for
// which isAlive is true.
func pickRelays(rnd *rand.Rand, hosts []model.HostID, isAlive func(model.HostID) bool) []model.HostID {
	var alive, others []model.HostID
	for _, i := range rnd.Perm(len(hosts)) {
		if isAlive(hosts[i]) {
			alive = append(alive, hosts[i])
		} else {
			others = append(others, hosts[i])
		}
		if len(alive) == relaysPerDomain {
			return alive
		}
	}
	all := append(alive, others...)
	return all[:min(len(all), relaysPerDomain)]
}

// Accept records a message as received. It reports false for a duplicate.
func (s *State) Accept(origin model.HostRef, sequence uint64) bool {
	w, ok := s.received[origin.ID]
	if !ok {
		w = new(receiveWindows)
		s.received[origin.ID] = w
	}
	return w.of(origin.Incarnation).accept(sequence)
}

// receiveWindows are the windows of the last two incarnations of an origin. Messages
// of the former one may arrive after the first of the new one by another way.
type receiveWindows struct{ latest, before receiveWindow }

// of returns the window of an incarnation. The incarnation of a restarted origin need
// not be greater: its wall clock may have been set back.
func (w *receiveWindows) of(incarnation uint64) *receiveWindow {
	switch incarnation {
	case w.latest.incarnation:
		return &w.latest
	case w.before.incarnation:
		return &w.before
	}
	w.before, w.latest = w.latest, receiveWindow{incarnation: incarnation}
	return &w.latest
}

// receiveWindowSize is how far behind the newest message of an origin a message
// is still recognized as new. Older ones count as duplicates.
const receiveWindowSize = 64

// receiveWindow is a sliding window for the detection of duplicates: a bitmap
// of the messages that were received from one origin.
type receiveWindow struct {
	incarnation uint64
	newest      uint64
	received    uint64 // bit i: sequence number newest - i
}

func (w *receiveWindow) accept(sequence uint64) bool {
	if sequence > w.newest {
		shift := sequence - w.newest
		w.received <<= min(shift, receiveWindowSize)
		w.received |= 1
		w.newest = sequence
		return true
	}
	age := w.newest - sequence
	if age >= receiveWindowSize || w.received&(1<<age) != 0 {
		return false
	}
	w.received |= 1 << age
	return true
}
