package health

import (
	"cmp"
	"slices"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// ExportState returns the state that the next coordinator of the service needs
// for a handover. The slot is frozen from now on, so this coordinator publishes
// no further set.
func (c *Coordinator) ExportState(now model.Instant) message.EjectionState {
	state := message.EjectionState{
		Set:   message.EjectionSet{Ejected: c.inPhase(ejected), Trial: c.inPhase(inTrial)},
		Quiet: max(0, c.quietUntil.Sub(now)),
	}
	for id, at := range c.lastPublished {
		state.Published = append(state.Published, message.ServerAge{Server: id, Age: now.Sub(at)})
	}
	slices.SortFunc(state.Published, func(a, b message.ServerAge) int { return cmp.Compare(a.Server, b.Server) })
	return state
}

// ResumeCoordinator returns the coordinator of a term that was handed over. It
// knows all sets that may be in force, so it need not wait for unknown ones to
// expire.
func ResumeCoordinator(now model.Instant, term uint64, state message.EjectionState) *Coordinator {
	c := NewCoordinator(now, term, now.Add(state.Quiet), state.Set)
	for _, p := range state.Published {
		at := now.Add(-p.Age)
		c.lastPublished[p.Server] = max(c.lastPublished[p.Server], at)
	}
	return c
}
