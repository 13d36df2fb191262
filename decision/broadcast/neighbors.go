package broadcast

import (
	"slices"

	"pollensail.dev/decision/model"
)

// Neighbors returns the hosts of the own domain to which this host passes batches on.
// They are the edges of a generalized de Bruijn graph over the sorted hosts. Each host
// has neighborCount edges in either direction, and reaches n others in log n steps, to
// the base of neighborCount. For a host that is not known to be alive, the next one that
// is gets a copy too. The former still gets its own, because in a large fleet the evidence
// of a live host may be late at many hosts at once.
func (s *State) Neighbors(self model.HostID, isAlive func(model.HostID) bool) []model.HostID {
	position := slices.Index(s.domainHosts, self)
	if position < 0 {
		return nil
	}
	var chosen []model.HostID
	isFree := func(id model.HostID) bool { return id != self && !slices.Contains(chosen, id) }
	for edge := range min(neighborCount, len(s.domainHosts)-1) {
		id, _ := s.firstFrom(neighborCount*position+edge, isFree)
		chosen = append(chosen, id)
	}
	for edge, id := range chosen {
		if isAlive(id) {
			continue
		}
		isSubstitute := func(id model.HostID) bool { return isFree(id) && isAlive(id) }
		if substitute, ok := s.firstFrom(neighborCount*position+edge, isSubstitute); ok {
			chosen = append(chosen, substitute)
		}
	}
	return chosen
}

// firstFrom returns the first host at or after a position that matches.
func (s *State) firstFrom(start int, matches func(model.HostID) bool) (model.HostID, bool) {
	for i := range s.domainHosts {
		if id := s.domainHosts[(start+i)%len(s.domainHosts)]; matches(id) {
			return id, true
		}
	}
	return "", false
}
