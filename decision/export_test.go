package decision

import (
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
)

// SetSnapshot makes a configuration active without a store.
func SetSnapshot(s *State, snapshot *configuration.Snapshot) { s.snapshot = snapshot }

// OwnsSlot reports whether the host owns the slot at the given instant.
func OwnsSlot(s *State, now model.Instant, id model.SlotID) bool {
	_, ok := s.limits.slots.Owns(now, id)
	return ok
}

// AuthorityOf returns the name of the host's authority at the given instant.
func AuthorityOf(s *State, now model.Instant) string {
	return s.limits.members.Authority(now).Authority.String()
}

// ClaimsSince returns since when the slot's idempotency records are complete;
// 0 if none was ever lost.
func ClaimsSince(s *State, id model.SlotID) model.WallTime { return s.claims.completeSince[id] }

// KnowsOwners reports whether the host knows an owner of every slot.
func KnowsOwners(s *State) bool {
	for _, id := range s.snapshot.Slots() {
		if _, ok := s.slotOwner(id); !ok {
			return false
		}
	}
	return true
}

// IsListed reports whether a backend server is in the host's list.
func IsListed(s *State, id string) bool {
	for _, e := range s.servers.appliedList {
		if e.ID == id {
			return true
		}
	}
	return false
}

// FollowsStore reports whether the host follows the host list in the store.
func FollowsStore(s *State) bool { return s.directory.source != sourcePeers }

// IsLeaving reports whether the host gives a backend server no new requests because
// it is leaving.
func IsLeaving(s *State, id string) bool { return s.servers.roster.IsLeaving(model.ServerID(id)) }
