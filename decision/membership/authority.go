package membership

import (
	"slices"

	"pollensail.dev/decision/model"
)

// Authority says on what ground a host may serve.
type Authority uint8

// The authorities. The zero value is Isolated, the only safe assumption.
const (
	// Isolated: neither the store nor most hosts were heard recently.
	Isolated Authority = iota
	// StoreOutage: no host that was heard reached the store recently, but most
	// hosts were heard.
	StoreOutage
	// Connected: this host, or one that it heard, reached the store recently.
	Connected
)

// String returns the name used in the status and in logs.
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

// Standing is an authority and the instant until which the present evidence
// supports it.
type Standing struct {
	Authority Authority
	Until     model.Instant
}

// Authority returns this host's standing at the given instant. Evaluate it at
// the time of the event that depends on it.
func (s *State) Authority(now model.Instant) Standing {
	if s.storeKnown && s.storeAt.Add(Window) > now {
		return Standing{Connected, s.storeAt.Add(Window)}
	}
	if until := s.MajorityUntil(now); until > now {
		return Standing{StoreOutage, until}
	}
	return Standing{Authority: Isolated}
}

// MajorityUntil returns the instant until which more than half of the listed
// entry hosts, this one included, count as heard without further evidence. It
// is in the past or zero where they do not.
func (s *State) MajorityUntil(now model.Instant) model.Instant {
	if !s.listed {
		return 0
	}
	others := s.Majority() - 1
	if others == 0 {
		return now.Add(Window)
	}
	heard := s.heardAt[:0]
	for _, h := range s.hosts {
		if h.known && !h.young && h.entry.ID != string(s.self.ID) {
			heard = append(heard, h.at)
		}
	}
	s.heardAt = heard
	if len(heard) < others {
		return 0
	}
	slices.Sort(heard)
	return heard[len(heard)-others].Add(Window)
}

// Majority returns how many hosts are more than half of the listed ones.
func (s *State) Majority() int { return len(s.hosts)/2 + 1 }
