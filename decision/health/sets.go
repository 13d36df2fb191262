package health

import (
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// SetLife is how long a host applies a set that is not renewed. It is
	// longer than the replacement of a lost coordinator takes (about 13 s).
	SetLife = 20 * time.Second
	// delivery is the time that a set may be on its way.
	delivery = 2 * time.Second
	// linger is how long after its last publication a set may be in force
	// somewhere.
	linger = SetLife + delivery
)

// Sets are the ejection sets in force at a host. Make it with NewSets.
type Sets struct{ held map[model.ServiceID]*heldSet }

type heldSet struct {
	message.EjectionSet
	expires model.Instant
}

// NewSets returns no sets.
func NewSets() *Sets { return &Sets{held: make(map[model.ServiceID]*heldSet)} }

// Take puts a set in force unless the host has a newer one. Sets of another
// slot than the held one are always newer: the slot that a service belongs to
// changes only with the configuration.
func (s *Sets) Take(now model.Instant, set message.EjectionSet) bool {
	old, ok := s.held[set.Service]
	if ok && old.Slot == set.Slot && !isNewer(set, old.EjectionSet) {
		return false
	}
	s.held[set.Service] = &heldSet{EjectionSet: set, expires: now.Add(SetLife)}
	return true
}

func isNewer(a, b message.EjectionSet) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Sequence > b.Sequence
}

// InForce returns the set for a service, empty when there is none. An expired
// set is kept for its term and sequence only.
func (s *Sets) InForce(now model.Instant, service model.ServiceID) message.EjectionSet {
	held, ok := s.held[service]
	if !ok || now >= held.expires {
		return message.EjectionSet{}
	}
	return held.EjectionSet
}

// NextExpiry returns when the next set that is in force expires, or
// model.Never.
func (s *Sets) NextExpiry(now model.Instant) model.Instant {
	next := model.Never
	for _, held := range s.held {
		isEmpty := len(held.Ejected)+len(held.Trial) == 0
		if now < held.expires && !isEmpty {
			next = min(next, held.expires)
		}
	}
	return next
}
