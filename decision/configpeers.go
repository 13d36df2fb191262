package decision

import (
	"slices"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/membership"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// versionPollsPerTick is how many peers a host without a configuration polls
// for their version in one tick.
const versionPollsPerTick = 32

// setConfigPeers updates the peers from the list of entry hosts.
func (s *State) setConfigPeers(entries []model.HostEntry) {
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
	for id := range c.peerVersions {
		if !listed[id] {
			delete(c.peerVersions, id)
		}
	}
	if c.storeCallFailed {
		s.pollPeerVersions()
	}
	s.completeTarget()
}

// onConfigOffer handles a root that a peer offers, or a peer's request for
// this host's root or for a read of the store. A root without shards tells only
// the version; a host that lacks it requests the whole root.
func (s *State) onConfigOffer(from model.HostRef, m message.ConfigOffer) {
	s.applyEvacuation(m.Evacuation)
	if m.Want {
		s.answerRootRequest(from.ID, m.Root.Version)
		return
	}
	if m.Read {
		s.readRoot()
	}
	if len(m.Root.Shards) > 0 {
		s.onRootOffered(m.Root, from.ID)
	}
	if !m.Fetching {
		s.onPeerVersion(from, m.Root.Version)
	}
}

// answerRootRequest sends a peer the active version, with the whole root if
// the peer has an older one.
func (s *State) answerRootRequest(to model.HostID, version uint64) {
	root := s.config.root
	if root.Version <= version {
		root = configuration.Root{Version: root.Version}
	}
	if root.Version > 0 {
		s.send(to, message.ConfigOffer{Root: root, Evacuation: s.evacuation.set})
	}
}

// onPeerVersion handles the version that a peer reports as active.
func (s *State) onPeerVersion(from model.HostRef, version uint64) {
	c := &s.config
	if version == 0 {
		return
	}
	s.noteHolder(from.ID, version)
	isNewer := version > c.newestKnown
	s.noteKnownVersion(version)
	if isNewer {
		s.requestRoot(from.ID)
	}
	if c.root.Version == 0 && slices.Contains(c.peers, from.ID) {
		c.peerVersions[from.ID] = version
		s.completeTarget()
	}
}

// requestRoot requests a peer's root, which the peer sends only if it is newer
// than what this host has.
func (s *State) requestRoot(to model.HostID) {
	newest := configuration.Root{Version: s.config.newestHandled()}
	s.config.fetches.sent++
	s.send(to, message.ConfigOffer{Root: newest, Want: true, Evacuation: s.evacuation.set})
}

// delegateRead asks random peers to read the root in place of this host, which does not
// reach the store. While the store is down for all, that would only add to its load.
func (s *State) delegateRead() {
	if s.limits.members.Authority(s.now).Authority != membership.Connected {
		return
	}
	offer := message.ConfigOffer{Root: configuration.Root{Version: s.config.root.Version}, Read: true, Evacuation: s.evacuation.set}
	for _, peer := range s.randomPeers(delegatedReads) {
		s.send(peer, offer)
	}
}

// gossipVersion tells a few random peers of the active version.
func (s *State) gossipVersion() {
	offer := message.ConfigOffer{Root: configuration.Root{Version: s.config.root.Version}, Evacuation: s.evacuation.set}
	for _, peer := range s.randomPeers(gossipFanout) {
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

// pullFromPeers repeats requests for a version that is known but not available
// yet.
func (s *State) pullFromPeers() {
	c := &s.config
	switch {
	case c.root.Version == 0 && c.storeCallFailed:
		s.pollPeerVersions()
	case c.newestKnown > c.newestHandled():
		for _, peer := range s.randomPeers(gossipFanout) {
			s.requestRoot(peer)
		}
	}
}

// pollPeerVersions asks the next peers in turn for their version, while no
// configuration is active.
func (s *State) pollPeerVersions() {
	c := &s.config
	if c.root.Version > 0 {
		return
	}
	for range min(versionPollsPerTick, len(c.peers)) {
		c.lastPolledPeer = (c.lastPolledPeer + 1) % len(c.peers)
		if _, ok := c.peerVersions[c.peers[c.lastPolledPeer]]; !ok || c.target.root.Version == 0 {
			s.requestRoot(c.peers[c.lastPolledPeer])
		}
	}
}
