package decision

import (
	"maps"
	"slices"

	"pollensail.dev/decision/health"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// quietUntil returns until when the coordinator of a service may eject only
// servers whose ejection it inherited. The time counts from when this host
// acquired the slot, not from the first report. Once the slots have changed, it
// counts from now, because another host may have coordinated the service.
func (s *State) quietUntil(id model.ServiceID, term uint64) model.Instant {
	slot, _ := s.coordinatorSlot(id)
	until, ok := s.servers.quietEnds[slot]
	switch {
	case s.servers.slotsChanged:
		return s.now.Add(health.QuietPeriod)
	case ok:
		return until
	case term == firstTerm:
		return s.now
	default:
		return s.now.Add(health.QuietPeriod)
	}
}

// beginEjections starts the coordination of a slot's services without a
// handover. The previous owner, if there was one, and what it published are
// lost.
func (s *State) beginEjections(slot model.SlotID, term uint64) {
	s.servers.quietEnds[slot] = s.now
	if term > firstTerm {
		s.servers.quietEnds[slot] = s.now.Add(health.QuietPeriod)
	}
}

// addEjectionsToOffer adds the state of the coordinators of the offer's slot to
// it.
func (s *State) addEjectionsToOffer(offer *message.HandoverOffer) {
	offer.EjectionsQuiet = max(0, s.servers.quietEnds[offer.Slot].Sub(s.now))
	for _, id := range slices.Sorted(maps.Keys(s.servers.coordinators)) {
		slot, ok := s.coordinatorSlot(id)
		if !ok || slot != offer.Slot {
			continue
		}
		state := s.servers.coordinators[id].ExportState(s.now)
		state.Set.Service = id
		offer.Ejections = append(offer.Ejections, state)
	}
}

// restoreEjections resumes the coordinators of a slot that was handed over.
func (s *State) restoreEjections(offer message.HandoverOffer, term uint64) {
	s.servers.quietEnds[offer.Slot] = s.now.Add(offer.EjectionsQuiet)
	for _, state := range offer.Ejections {
		s.servers.coordinators[state.Set.Service] = health.ResumeCoordinator(s.now, term, state)
	}
	s.setCoordinatorTimer()
}

// endEjections removes the coordinators of a slot that this host no longer
// owns.
func (s *State) endEjections(slot model.SlotID) {
	delete(s.servers.quietEnds, slot)
	for id := range s.servers.coordinators {
		if serviceSlot, ok := s.coordinatorSlot(id); ok && serviceSlot == slot {
			delete(s.servers.coordinators, id)
		}
	}
}
