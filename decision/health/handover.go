package health

import (
	"cmp"
	"slices"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Export returns what the next coordinator of the service needs to go on. The
// slot is frozen from now on, so no further set is published.
func (c *Coordinator) Export(now model.Instant) message.EjectionState {
	state := message.EjectionState{
		Set:   message.EjectionSet{Ejected: c.inPhase(ejected), Trial: c.inPhase(inTrial)},
		Quiet: max(0, c.quietUntil.Sub(now)),
	}
	for id, at := range c.published {
		state.Published = append(state.Published, message.ServerAge{Server: id, Age: now.Sub(at)})
	}
	slices.SortFunc(state.Published, func(a, b message.ServerAge) int { return cmp.Compare(a.Server, b.Server) })
	return state
}

// Resume returns the coordinator of a term that was handed over. It knows
// every set that may be in force, so it need not wait for any to expire.
func Resume(now model.Instant, term uint64, state message.EjectionState) *Coordinator {
	c := NewCoordinator(now, term, now.Add(state.Quiet), state.Set)
	for _, p := range state.Published {
		at := now.Add(-p.Age)
		c.published[p.Server] = max(c.published[p.Server], at)
	}
	return c
}
