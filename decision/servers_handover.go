package decision

import (
	"maps"
	"slices"

	"pollensail.dev/decision/health"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// quietUntil returns until when the coordinator of a service may eject only
// servers that it inherited. The time counts from when this host got the slot,
// not from the first report.
func (s *State) quietUntil(id model.ServiceID, term uint64) model.Instant {
	slot, _ := s.healthSlot(id)
	until, ok := s.servers.quiet[slot]
	switch {
	case s.servers.slotsChanged:
		return s.now.Add(health.Quiet)
	case ok:
		return until
	case term == firstTerm:
		return s.now
	default:
		return s.now.Add(health.Quiet)
	}
}

// beginEjections starts the coordination of a slot's services after a claim.
// The owner before, if there was one, is lost with what it published.
func (s *State) beginEjections(slot model.SlotID, term uint64) {
	s.servers.quiet[slot] = s.now
	if term > firstTerm {
		s.servers.quiet[slot] = s.now.Add(health.Quiet)
	}
}

// freezeEjections adds the coordinators of the offer's slot to it.
func (s *State) freezeEjections(offer *message.HandoverOffer) {
	offer.EjectionsQuiet = max(0, s.servers.quiet[offer.Slot].Sub(s.now))
	for _, id := range slices.Sorted(maps.Keys(s.servers.coordinators)) {
		slot, ok := s.healthSlot(id)
		if !ok || slot != offer.Slot {
			continue
		}
		state := s.servers.coordinators[id].Export(s.now)
		state.Set.Service = id
		offer.Ejections = append(offer.Ejections, state)
	}
}

// restoreEjections goes on with the coordinators of a slot that was handed
// over.
func (s *State) restoreEjections(offer message.HandoverOffer, term uint64) {
	s.servers.quiet[offer.Slot] = s.now.Add(offer.EjectionsQuiet)
	for _, state := range offer.Ejections {
		s.servers.coordinators[state.Set.Service] = health.Resume(s.now, term, state)
	}
	s.setCoordinatorTimer()
}

// endEjections forgets the coordinators of a slot that this host owns no
// longer.
func (s *State) endEjections(slot model.SlotID) {
	delete(s.servers.quiet, slot)
	for id := range s.servers.coordinators {
		if of, ok := s.healthSlot(id); ok && of == slot {
			delete(s.servers.coordinators, id)
		}
	}
}
