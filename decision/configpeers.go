package decision

import (
	"slices"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// versionAsks is how many peers a host without a configuration asks for their
// version in one tick.
const versionAsks = 32

// configHostsListed takes the list of entry hosts.
func (s *State) configHostsListed(entries []model.HostEntry) {
	c := &s.config
	c.peers = c.peers[:0]
	listed := make(map[model.HostID]bool)
	for _, e := range entries {
		id := model.HostID(e.ID)
		if e.Role == model.RoleEntry && id != s.self.ID {
			c.peers = append(c.peers, id)
			listed[id] = true
		}
	}
	for id := range c.told {
		if !listed[id] {
			delete(c.told, id)
		}
	}
	if c.storeDown {
		s.askVersions()
	}
	s.completeTarget()
}

// onConfigOffer takes a peer's root. A root without shards tells the version
// only; a host that lacks it asks for the whole root.
func (s *State) onConfigOffer(from model.HostRef, m message.ConfigOffer) {
	if m.Want {
		s.answerWant(from.ID, m.Root.Version)
		return
	}
	if len(m.Root.Shards) > 0 {
		s.considerRoot(m.Root, from.ID)
	}
	s.configHeard(from, m.Root.Version)
}

// answerWant tells a peer the version in force, with the whole root if the
// peer has an older one.
func (s *State) answerWant(to model.HostID, version uint64) {
	root := s.config.root
	if root.Version <= version {
		root = configuration.Root{Version: root.Version}
	}
	if root.Version > 0 {
		s.send(to, message.ConfigOffer{Root: root})
	}
}

// configHeard is called with the version that a peer's heartbeat names.
func (s *State) configHeard(from model.HostRef, version uint64) {
	c := &s.config
	if version == 0 {
		return
	}
	isNews := version > c.seen
	s.heardVersion(version)
	if isNews {
		s.want(from.ID)
	}
	if c.root.Version == 0 && slices.Contains(c.peers, from.ID) {
		c.told[from.ID] = version
		s.completeTarget()
	}
}

// want asks a peer for its root if it is newer than what this host has.
func (s *State) want(to model.HostID) {
	newest := configuration.Root{Version: s.config.newest()}
	s.send(to, message.ConfigOffer{Root: newest, Want: true})
}

// offerVersion tells a few random peers of the version in force.
func (s *State) offerVersion() {
	offer := message.ConfigOffer{Root: configuration.Root{Version: s.config.root.Version}}
	for _, peer := range s.randomPeers(offerFanout) {
		s.send(peer, offer)
	}
}

func (s *State) randomPeers(n int) []model.HostID {
	peers := s.config.peers
	order := s.rand.Perm(len(peers))
	chosen := make([]model.HostID, 0, n)
	for _, i := range order[:min(n, len(order))] {
		chosen = append(chosen, peers[i])
	}
	return chosen
}

// followPeers repeats questions for a version that was heard of.
func (s *State) followPeers() {
	c := &s.config
	switch {
	case c.root.Version == 0 && c.storeDown:
		s.askVersions()
	case c.seen > c.newest():
		for _, peer := range s.randomPeers(offerFanout) {
			s.want(peer)
		}
	}
}

// askVersions asks the next peers for their version, while no configuration is
// in force.
func (s *State) askVersions() {
	c := &s.config
	if c.root.Version > 0 {
		return
	}
	for range min(versionAsks, len(c.peers)) {
		c.asked = (c.asked + 1) % len(c.peers)
		if _, ok := c.told[c.peers[c.asked]]; !ok || c.target.root.Version == 0 {
			s.want(c.peers[c.asked])
		}
	}
}
