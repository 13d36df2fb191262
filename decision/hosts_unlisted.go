package decision

import (
	"slices"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
)

// unlistedHosts are entry hosts that the platform's list no longer has although
// they are alive. The entry of a host that the store turns away lapses with its
// lease, while the other hosts still hear from it and it may own slots. Such a
// host stays in use until the evidence of it is too old or it stops.
type unlistedHosts struct {
	// received is the last list from the platform.
	received []model.HostEntry
	// inUse are the entry hosts of the list in use, retained ones included.
	inUse []model.HostEntry
	// retained are the hosts in use that received lacks.
	retained []model.HostEntry
}

// withUnlistedHosts returns the entries and the unlisted hosts.
func (s *State) withUnlistedHosts(entries []model.HostEntry) []model.HostEntry {
	u := &s.unlisted
	listed := newHostSet(entries)
	var retained []model.HostEntry
	for _, e := range u.inUse {
		if !listed.has(e) && s.isServing(e) {
			retained = append(retained, e)
			s.noteUnlisted(e)
		}
	}
	u.received = entries
	u.retained = retained
	u.inUse = slices.Concat(listed.hosts, retained)
	return slices.Concat(entries, retained)
}

// noteUnlisted reports that a host is retained, unless it already was.
func (s *State) noteUnlisted(host model.HostEntry) {
	if !slices.Contains(s.unlisted.retained, host) {
		s.emitNotice(effect.NoticeHostUnlisted, host.ID)
	}
}

// isServing reports whether a host is this one, or known to be alive and not to
// stop.
func (s *State) isServing(e model.HostEntry) bool {
	id := model.HostID(e.ID)
	return id == s.self.ID || s.limits.members.IsServing(s.now, id)
}

// hostSet is a set of entry hosts.
type hostSet struct {
	hosts     []model.HostEntry
	ids       map[string]bool
	addresses map[string]bool // of their peer ports
}

// newHostSet returns the entry hosts among the entries.
func newHostSet(entries []model.HostEntry) hostSet {
	set := hostSet{ids: make(map[string]bool), addresses: make(map[string]bool)}
	for _, e := range entries {
		if e.Role == model.RoleEntry {
			set.hosts = append(set.hosts, e)
			set.ids[e.ID] = true
			set.addresses[e.Peer] = e.Peer != ""
		}
	}
	return set
}

// has reports whether the set contains the host, or another one that now has its
// address.
func (s hostSet) has(host model.HostEntry) bool { return s.ids[host.ID] || s.addresses[host.Peer] }

// dropLostHosts removes the retained hosts that do not serve any more.
func (s *State) dropLostHosts() {
	u := &s.unlisted
	isLost := false
	for _, e := range u.retained {
		if !s.isServing(e) {
			isLost = true
			s.emitNotice(effect.NoticeHostLost, e.ID)
		}
	}
	if isLost {
		s.applyHostList(u.received)
	}
}
