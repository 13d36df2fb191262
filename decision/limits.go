package decision

import (
	"time"

	"pollensail.dev/decision/admission"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/membership"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/slot"
)

const (
	// heartbeatInterval is the time from one polled peer to the next: three a
	// second, spread out rather than at once.
	heartbeatInterval = time.Second / 3
	// slotCheckInterval is the time between periodic steps of slot ownership.
	slotCheckInterval = 250 * time.Millisecond
	// bucketSweepInterval is the time between removals of idle token buckets.
	bucketSweepInterval = 30 * time.Second
	// storeReadAfter is how old the newest known store answer may become before
	// this host reads the store itself; ownStoreReadAfter is the same where that
	// answer was its own.
	storeReadAfter    = 2 * time.Second
	ownStoreReadAfter = 800 * time.Millisecond
	// handoverTimeout is how long a planned stop waits for handovers.
	handoverTimeout = 20 * time.Second
)

// IDs of timerLimits.
const (
	limitsTimerHeartbeat uint64 = iota
	limitsTimerSlots
	limitsTimerTokens
	limitsTimerSweep
)

// limitState holds what rate limits are built on: membership, slot ownership
// and token admission.
type limitState struct {
	members      *membership.State
	slots        *slot.State
	ownedBuckets *admission.OwnedBuckets
	limiter      *admission.Limiter

	appliedSnapshot   *configuration.Snapshot // the last one passed to slots and limiter
	reportedAuthority membership.Authority    // in the last notice
	storeReadAt       model.Instant
	isApplyingTokens  bool          // applyTokenResults runs
	handoverDeadline  model.Instant // 0: no planned stop yet
}

func newLimitState() limitState { return limitState{} }

func (s *State) startLimits() {
	s.limits = limitState{
		members:      membership.New(s.self, s.domain, s.now),
		slots:        slot.New(s.self, s.now),
		ownedBuckets: admission.NewOwnedBuckets(),
		limiter:      admission.NewLimiter(s.tokenSources),
	}
	jitter := time.Duration(s.rand.Int64N(int64(heartbeatInterval)))
	s.setLimitsTimer(limitsTimerHeartbeat, s.now.Add(jitter))
	s.setLimitsTimer(limitsTimerSlots, s.now.Add(jitter))
	s.setLimitsTimer(limitsTimerSweep, s.now.Add(bucketSweepInterval))
}

func (s *State) setLimitsTimer(id uint64, at model.Instant) {
	s.timers.Set(timerKey{timerLimits, id}, at)
}

func (s *State) onLimitsTimer(id uint64) {
	s.applyLimitsConfig()
	switch id {
	case limitsTimerHeartbeat:
		s.setLimitsTimer(id, s.now.Add(heartbeatInterval))
		s.tickHeartbeat()
	case limitsTimerSlots:
		s.setLimitsTimer(id, s.now.Add(slotCheckInterval))
		s.tickSlots()
	case limitsTimerTokens:
		s.limits.limiter.Tick(s.now)
		s.applyTokenResults()
	case limitsTimerSweep:
		s.setLimitsTimer(id, s.now.Add(bucketSweepInterval))
		s.sweepBuckets()
	}
}

// applyLimitsConfig passes a new active configuration to slots and admission.
func (s *State) applyLimitsConfig() {
	if s.limits.appliedSnapshot == s.snapshot {
		return
	}
	s.limits.appliedSnapshot = s.snapshot
	s.limits.slots.SetSlots(s.now, s.snapshot.Slots())
	s.limits.limiter.Reconfigure()
	s.applySlotResults()
}

// addLimitsStatus adds authority and owned slots to the status.
func (s *State) addLimitsStatus(status *effect.Status) {
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
