package decision

import (
	"time"

	"pollensail.dev/decision/effect"
)

// updateReadiness tells the load balancer whether this host can serve
// requests.
func (s *State) updateReadiness() {
	isReady := s.snapshot != nil && !s.stopping && !s.isIsolated() && !s.isConfigBehind()
	isReady = isReady && (s.ready || s.knowsSlotOwners())
	if isReady && !s.ready {
		s.emitNotice(effect.NoticeReady, "")
	}
	s.setReady(isReady)
}

// ownerWaitTimeout is how long a new host waits to learn the slots' owners.
// The wait is bounded because a slot may have lost its owner.
const ownerWaitTimeout = 5 * time.Second

// knowsSlotOwners reports whether a new host knows which owners to ask for
// tokens and claims. Without that it refuses requests that other hosts can
// serve.
func (s *State) knowsSlotOwners() bool {
	if s.now >= s.startedAt.Add(ownerWaitTimeout) {
		return true
	}
	for _, id := range s.snapshot.Slots() {
		if _, ok := s.slotOwner(id); !ok {
			return false
		}
	}
	return true
}
