package decision

import (
	"maps"
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
	maps.DeleteFunc(c.reported, func(id model.HostID, _ bool) bool { return !listed[id] })
	if c.needsPeerVersions() {
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
		s.answerUpdateRequest(from.ID, m)
		return
	}
	if m.Read {
		s.config.delegatedUntil = s.now.Add(delegationPeriod)
		s.readRoot()
	}
	if len(m.Root.Shards) > 0 {
		s.endUpdateRequest(from.ID)
		s.onRootOffered(m.Root, from.ID)
	}
	if !m.Fetching {
		s.onPeerVersion(from, m.Root.Version)
	}
}

// onPeerVersion handles the version that a peer reports as active, 0 for none.
func (s *State) onPeerVersion(from model.HostRef, version uint64) {
	if version <= s.config.newestHandled() {
		s.endUpdateRequest(from.ID)
		s.config.update.dropHolder(from.ID)
	}
	if version > 0 {
		s.noteKnownVersion(version)
		s.noteHolder(from.ID, version)
	}
	s.notePeerVersion(from.ID, version)
	s.requestUpdate()
}

// notePeerVersion records the version of a peer, 0 if it has none, while this host has
// none.
func (s *State) notePeerVersion(peer model.HostID, version uint64) {
	c := &s.config
	if c.root.Version > 0 || !slices.Contains(c.peers, peer) {
		return
	}
	c.reported[peer] = true
	if version > 0 {
		c.peerVersions[peer] = version
	}
	s.completeTarget()
}

// requestRoot requests a peer's root, which the peer sends only if it is newer
// than what this host has, and with it the shards that differ.
func (s *State) requestRoot(to model.HostID, withShards bool) {
	c := &s.config
	newest := configuration.Root{Version: c.newestHandled()}
	var cached []string
	if withShards {
		newest.Version = max(c.root.Version, c.rejected)
		cached = c.newShardHashes()
	}
	c.fetches.sent++
	s.send(to, message.ConfigOffer{Root: newest, Want: true, Evacuation: s.evacuation.set, WithShards: withShards, Cached: cached})
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

// announcementTargets returns the peers that are told of the active version: the
// neighbors in this host's failure domain and the relays in the others, to which health
// signals go as well, so that the links to them are open. Each host of a domain is a
// neighbor of several others. Those that are known to have the version are left out.
func (s *State) announcementTargets() []model.HostID {
	c := &s.config
	spread := s.servers.signalBroadcast
	targets := slices.Clone(spread.Neighbors(s.self.ID, s.isHostAlive))
	targets = append(targets, spread.Relays(s.now, s.rand, s.isHostAlive)...)
	holders := c.holdersOf(c.root.Version)
	return slices.DeleteFunc(targets, func(id model.HostID) bool { return slices.Contains(holders, id) })
}

// announceVersion tells peers of the active version.
func (s *State) announceVersion(targets []model.HostID) {
	offer := message.ConfigOffer{Root: configuration.Root{Version: s.config.root.Version}, Evacuation: s.evacuation.set}
	for _, peer := range targets {
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
	case c.needsPeerVersions():
		s.pollPeerVersions()
		s.completeTarget()
	case c.needsUpdate() && len(c.update.asked) == 0:
		s.onUpdateTimer()
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
			s.requestRoot(c.peers[c.lastPolledPeer], false)
		}
	}
}
