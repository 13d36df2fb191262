package telemetry

import (
	"time"

	"pollensail.dev/decision/effect"
)

// EvacuationStatus is the newest set of evacuated failure domains that the host knows.
type EvacuationStatus struct {
	Revision uint64            `json:"revision"` // the store's, at which the set was read; 0: no set is known
	Domains  []EvacuatedDomain `json:"domains"`
}

// EvacuatedDomain is an evacuated failure domain.
type EvacuatedDomain struct {
	Domain string    `json:"domain"`
	Since  time.Time `json:"since"` // when this host applied it
	// Unknown reports that no configuration, host or server has the domain, so that
	// it has no effect.
	Unknown bool `json:"unknown,omitempty"`
}

func newEvacuationStatus(s effect.EvacuationStatus) EvacuationStatus {
	status := EvacuationStatus{Revision: s.Revision, Domains: make([]EvacuatedDomain, 0, len(s.Domains))}
	for _, d := range s.Domains {
		status.Domains = append(status.Domains, EvacuatedDomain{
			Domain:  string(d.Domain),
			Since:   time.UnixMilli(int64(d.Since)).UTC(),
			Unknown: !d.IsKnown,
		})
	}
	return status
}

// countEvacuated returns the number of evacuated domains that are known.
func countEvacuated(domains []effect.EvacuatedDomain) int {
	n := 0
	for _, d := range domains {
		if d.IsKnown {
			n++
		}
	}
	return n
}
