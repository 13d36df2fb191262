package decision

import (
	"time"

	tokens "pollensail.dev/decision/admission"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/membership"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/slot"
)

const (
	// heartbeatEvery is the time from one asked peer to the next: three a
	// second, spread out rather than at once.
	heartbeatEvery = time.Second / 3
	// slotsEvery is the time between looks at what slots need.
	slotsEvery = 250 * time.Millisecond
	// sweepEvery is the time between removals of idle buckets.
	sweepEvery = 30 * time.Second
	// storeReadAfter is how old the newest known store answer may become
	// before this host reads the store itself; ownStoreReadAfter is the same
	// where that answer was its own.
	storeReadAfter    = 2 * time.Second
	ownStoreReadAfter = 800 * time.Millisecond
	// stopTimeout is how long a planned stop waits for handovers.
	stopTimeout = 20 * time.Second
)

// Deadlines of the kind timerLimits.
const (
	limitsHeartbeat uint64 = iota
	limitsSlots
	limitsTokens
	limitsSweep
)

// limitState is membership, slot ownership and admission.
type limitState struct {
	members *membership.State
	slots   *slot.State
	owner   *tokens.Owner
	holder  *tokens.Holder

	configured  *configuration.Snapshot // that slots and holder know
	authority   membership.Authority    // last reported
	storeReadAt model.Instant
	isRunning   bool          // runTokens is active
	stopBy      model.Instant // 0: handovers have not begun
}

func newLimitState() limitState { return limitState{} }

func (s *State) startLimits() {
	s.limits = limitState{
		members: membership.New(s.self, s.domain, s.now),
		slots:   slot.New(s.self, s.now),
		owner:   tokens.NewOwner(),
		holder:  tokens.NewHolder(s.tokenSources),
	}
	jitter := time.Duration(s.rand.Int64N(int64(heartbeatEvery)))
	s.setLimitsTimer(limitsHeartbeat, s.now.Add(jitter))
	s.setLimitsTimer(limitsSlots, s.now.Add(jitter))
	s.setLimitsTimer(limitsSweep, s.now.Add(sweepEvery))
}

func (s *State) setLimitsTimer(id uint64, at model.Instant) {
	s.timers.Set(timerKey{timerLimits, id}, at)
}

func (s *State) onLimitsTimer(id uint64) {
	s.limitsConfigured()
	switch id {
	case limitsHeartbeat:
		s.setLimitsTimer(id, s.now.Add(heartbeatEvery))
		s.tickHeartbeat()
	case limitsSlots:
		s.setLimitsTimer(id, s.now.Add(slotsEvery))
		s.tickSlots()
	case limitsTokens:
		s.limits.holder.Tick(s.now)
		s.runTokens()
	case limitsSweep:
		s.setLimitsTimer(id, s.now.Add(sweepEvery))
		s.sweepBuckets()
	}
}

// limitsConfigured notices that another configuration has come into force.
func (s *State) limitsConfigured() {
	if s.limits.configured == s.snapshot {
		return
	}
	s.limits.configured = s.snapshot
	s.limits.slots.SetSlots(s.now, s.snapshot.Slots())
	s.limits.holder.Reconfigure()
	s.runSlots()
}

// limitsStatus adds authority and owned slots to the status.
func (s *State) limitsStatus(status *effect.Status) {
	if s.limits.members == nil {
		return
	}
	status.Authority = s.limits.members.Authority(s.now).Authority.String()
	for _, held := range s.limits.slots.Held() {
		status.Slots = append(status.Slots, effect.SlotStatus{
			Slot: held.Slot, Term: held.Term, ExpiresIn: held.Until - s.now,
		})
	}
}
