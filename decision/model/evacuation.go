package model

import "slices"

// Evacuation is the set of failure domains to whose servers nothing may be sent, as
// the store had it at a revision. The set with the higher revision is newer. The
// zero value is older than any set that was read.
type Evacuation struct {
	Revision uint64
	Domains  []DomainID // sorted, distinct
}

// Has reports whether a failure domain is evacuated.
func (e Evacuation) Has(id DomainID) bool {
	_, ok := slices.BinarySearch(e.Domains, id)
	return ok
}
