package broadcast

import (
	"math/rand/v2"
	"slices"

	"pollensail.dev/decision/model"
)

// relays is how many hosts of each other domain get a copy to pass on. With two,
// one that has just ended does not keep the message from its domain.
const relays = 2

// State is the hosts that messages go to, and the messages taken so far. Make it
// with New.
type State struct {
	domains  map[model.DomainID][]model.HostID // without this host
	order    []model.DomainID                  // keys of domains, sorted
	own      model.DomainID
	sequence uint64
	taken    map[model.HostID]*window
}

// New returns a state without hosts.
func New() *State {
	return &State{taken: make(map[model.HostID]*window)}
}

// SetHosts takes the list of hosts.
func (s *State) SetHosts(self model.HostID, own model.DomainID, entries []model.HostEntry) {
	s.own = own
	s.domains = make(map[model.DomainID][]model.HostID)
	s.order = s.order[:0]
	listed := make(map[model.HostID]bool)
	for _, e := range entries {
		id := model.HostID(e.ID)
		if e.Role != model.RoleEntry || id == self {
			continue
		}
		if len(s.domains[e.Domain]) == 0 {
			s.order = append(s.order, e.Domain)
		}
		s.domains[e.Domain] = append(s.domains[e.Domain], id)
		listed[id] = true
	}
	slices.Sort(s.order)
	for id := range s.taken {
		if !listed[id] {
			delete(s.taken, id)
		}
	}
}

// Next returns the sequence of a new message of this host.
func (s *State) Next() uint64 {
	s.sequence++
	return s.sequence
}

// Near returns the other hosts of this host's domain.
func (s *State) Near() []model.HostID { return s.domains[s.own] }

// Relays returns the hosts of other domains that are to pass a message on, those
// preferred by isAlive first.
func (s *State) Relays(rnd *rand.Rand, isAlive func(model.HostID) bool) []model.HostID {
	var chosen []model.HostID
	for _, domain := range s.order {
		if domain != s.own {
			chosen = append(chosen, pick(rnd, s.domains[domain], isAlive)...)
		}
	}
	return chosen
}

// pick returns random hosts, as many as there are to be relays.
func pick(rnd *rand.Rand, hosts []model.HostID, isAlive func(model.HostID) bool) []model.HostID {
	var alive, others []model.HostID
	for _, i := range rnd.Perm(len(hosts)) {
		if isAlive(hosts[i]) {
			alive = append(alive, hosts[i])
		} else {
			others = append(others, hosts[i])
		}
		if len(alive) == relays {
			return alive
		}
	}
	all := append(alive, others...)
	return all[:min(len(all), relays)]
}

// Take reports whether a message has not been taken before.
func (s *State) Take(origin model.HostRef, sequence uint64) bool {
	w, ok := s.taken[origin.ID]
	// A later incarnation need not be greater: the origin's wall clock may have
	// been set back.
	if !ok || w.incarnation != origin.Incarnation {
		w = &window{incarnation: origin.Incarnation}
		s.taken[origin.ID] = w
	}
	return w.take(sequence)
}

// windowSize is how far back of the newest message of an origin others are
// recognized. Older ones count as taken.
const windowSize = 64

// window is the messages of one origin that were taken.
type window struct {
	incarnation uint64
	newest      uint64
	taken       uint64 // bit i: newest - i
}

func (w *window) take(sequence uint64) bool {
	if sequence > w.newest {
		shift := sequence - w.newest
		w.taken <<= min(shift, windowSize)
		w.taken |= 1
		w.newest = sequence
		return true
	}
	age := w.newest - sequence
	if age >= windowSize || w.taken&(1<<age) != 0 {
		return false
	}
	w.taken |= 1 << age
	return true
}
