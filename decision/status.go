package decision

import (
	"cmp"
	"slices"

	"pollensail.dev/decision/effect"
)

func (s *State) status() effect.Status {
	status := effect.Status{
		Host:     s.self,
		Domain:   s.domain,
		Ready:    s.ready,
		InFlight: len(s.requests),
		Refusals: s.refusalCounts(),

		ConfigLag:     s.config.lag.current(s.now),
		MaxConfigLag:  max(s.config.lag.longest, s.config.lag.current(s.now)),
		ConfigProblem: cmp.Or(s.config.problem, s.config.unusableObjects),
	}
	status.Evacuation = s.evacuationStatus()
	if s.snapshot != nil {
		status.Version = s.snapshot.Version
		status.Region = s.snapshot.Regions[s.domain]
	}
	s.addLimitsStatus(&status)
	s.addServersStatus(&status)
	return status
}

func (s *State) refusalCounts() []effect.RefusalCount {
	counts := make([]effect.RefusalCount, 0, len(s.refusals))
	for k, n := range s.refusals {
		counts = append(counts, effect.RefusalCount{Account: k.account, Reason: k.reason, Count: n})
	}
	slices.SortFunc(counts, func(a, b effect.RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Reason, b.Reason))
	})
	return counts
}
