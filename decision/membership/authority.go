package membership

import (
	"slices"

	"pollensail.dev/decision/model"
)

// Authority is the kind of evidence that lets a host serve.
type Authority uint8

// The authorities. The zero value is Isolated, the only safe assumption.
const (
	// Isolated: neither the store nor most hosts were reached recently.
	Isolated Authority = iota
	// StoreOutage: there is recent evidence of most hosts, but none that any of
	// them reached the store recently.
	StoreOutage
	// Connected: this host, or one from which it has evidence, reached the
	// store recently.
	Connected
)

// String returns the name in the status and in logs.
func (a Authority) String() string {
	switch a {
	case Connected:
		return "connected"
	case StoreOutage:
		return "store_outage"
	default:
		return "isolated"
	}
}

// Standing is an authority and when it ends without further evidence.
type Standing struct {
	Authority Authority
	Until     model.Instant
}

// Authority returns this host's authority at the given instant. Call it with
// the time of the event that depends on it.
func (s *State) Authority(now model.Instant) Standing {
	if s.storeKnown && s.storeAt.Add(EvidenceWindow) > now {
		return Standing{Connected, s.storeAt.Add(EvidenceWindow)}
	}
	if until := s.MajorityUntil(now); until > now {
		return Standing{StoreOutage, until}
	}
	return Standing{Authority: Isolated}
}

// MajorityUntil returns the instant until which, without further evidence, more
// than half of the listed entry hosts count as alive. This host is one of them.
// The instant is in the past or zero where they do not.
func (s *State) MajorityUntil(now model.Instant) model.Instant {
	if !s.hasList {
		return 0
	}
	others := s.Majority() - 1
	if others == 0 {
		return now.Add(EvidenceWindow)
	}
	times := s.aliveTimes[:0]
	for _, h := range s.hosts {
		if h.isKnown && !h.onProbation && h.entry.ID != string(s.self.ID) {
			times = append(times, h.aliveAt)
		}
	}
	s.aliveTimes = times
	if len(times) < others {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-others].Add(EvidenceWindow)
}

// Majority returns the least number of hosts that is more than half of the
// listed ones.
func (s *State) Majority() int { return len(s.hosts)/2 + 1 }
