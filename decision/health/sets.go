package health

import (
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// SetLifetime is how long a host applies a set that is not renewed. It is
	// longer than it takes to replace a failed coordinator (about 13 s).
	SetLifetime = 20 * time.Second
	// maxDeliveryDelay is the longest time that a set may be in transit.
	maxDeliveryDelay = 2 * time.Second
	// maxSetInForceTime is how long after its publication a set may be in force
	// at some host.
	maxSetInForceTime = SetLifetime + maxDeliveryDelay
)

// EjectionSets holds the ejection sets in force at a host. Make it with
// NewEjectionSets.
type EjectionSets struct {
	byService map[model.ServiceID]*activeSet
}

type activeSet struct {
	message.EjectionSet
	expires model.Instant
}

// NewEjectionSets returns EjectionSets without any set.
func NewEjectionSets() *EjectionSets {
	return &EjectionSets{byService: make(map[model.ServiceID]*activeSet)}
}

// Apply puts a set in force unless the host has the same or a newer one. A set
// of another slot always counts as newer, because only the configuration
// changes which slot a service belongs to.
func (s *EjectionSets) Apply(now model.Instant, set message.EjectionSet) bool {
	old, ok := s.byService[set.Service]
	if ok && old.Slot == set.Slot && !isNewer(set, old.EjectionSet) {
		return false
	}
	s.byService[set.Service] = &activeSet{EjectionSet: set, expires: now.Add(SetLifetime)}
	return true
}

func isNewer(a, b message.EjectionSet) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Sequence > b.Sequence
}

// InForce returns the set in force for a service, empty when there is none. An
// expired set is retained only for its term and sequence.
func (s *EjectionSets) InForce(now model.Instant, service model.ServiceID) message.EjectionSet {
	active, ok := s.byService[service]
	if !ok || now >= active.expires {
		return message.EjectionSet{}
	}
	return active.EjectionSet
}

// NextExpiry returns when the next non-empty set in force expires, or
// model.Never.
func (s *EjectionSets) NextExpiry(now model.Instant) model.Instant {
	next := model.Never
	for _, active := range s.byService {
		isEmpty := len(active.Ejected)+len(active.Trial) == 0
		if now < active.expires && !isEmpty {
			next = min(next, active.expires)
		}
	}
	return next
}
