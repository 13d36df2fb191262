package decision

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// maxShardAsk is how many shards one question asks for. At 32 KB each this
// bounds a message to 256 KB.
const maxShardAsk = 8

// shardTimeout is when a question for shards counts as lost.
const shardTimeout = 400 * time.Millisecond

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
	if version > c.seen {
		c.seen = version
		s.want(from.ID)
	}
	if c.root.Version == 0 && s.isConfigPeer(from.ID) {
		c.told[from.ID] = version
		s.completeTarget()
	}
}

func (s *State) isConfigPeer(id model.HostID) bool {
	for _, p := range s.config.peers {
		if p == id {
			return true
		}
	}
	return false
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

func (s *State) onShardAsk(from model.HostRef, m message.ShardAsk) {
	var shards []configuration.Shard
	for _, hash := range m.Hashes[:min(len(m.Hashes), maxShardAsk)] {
		if shard, ok := s.config.shards[hash]; ok {
			shard.Branches = nil // the receiver decodes what it has checked
			shards = append(shards, shard)
		}
	}
	if len(shards) > 0 {
		s.send(from.ID, message.Shards{Shards: shards})
	}
}

func (s *State) onShards(from model.HostRef, m message.Shards) {
	for _, shard := range m.Shards {
		sum := sha256.Sum256(shard.Encoded)
		if shard.Branches == nil || hex.EncodeToString(sum[:]) != shard.Hash {
			s.notice(effect.NoticeBadMessage, "shard "+shard.Hash+" from "+from.String()+" does not match its hash")
			return
		}
	}
	s.takeShards(m.Shards)
}

// missing returns up to n hashes of the target's shards that are not there.
func (c *configState) missing(n int) []string {
	var hashes []string
	for _, ref := range c.target.root.Shards {
		if _, ok := c.shards[ref.Hash]; !ok {
			hashes = append(hashes, ref.Hash)
		}
		if len(hashes) == n {
			break
		}
	}
	return hashes
}

// takeShards keeps the shards that the target names and asks for the next.
func (s *State) takeShards(shards []configuration.Shard) {
	c := &s.config
	isProgress := false
	for _, shard := range shards {
		_, isThere := c.shards[shard.Hash]
		if !isThere && c.target.names(shard.Hash) {
			c.shards[shard.Hash] = shard
			isProgress = true
		}
	}
	if isProgress {
		c.target.tries = 0
		s.askShards()
		s.completeTarget()
	}
}

func (t *configTarget) names(hash string) bool {
	for _, ref := range t.root.Shards {
		if ref.Hash == hash {
			return true
		}
	}
	return false
}

// askShards asks for the next missing shards: first where the root came from,
// then at the store and at random peers in turn.
func (s *State) askShards() {
	t := &s.config.target
	hashes := s.config.missing(maxShardAsk)
	if len(hashes) == 0 {
		return
	}
	t.lastTry = s.now
	switch {
	case t.tries == 0 && t.from != "":
		s.send(t.from, message.ShardAsk{Hashes: hashes})
	case t.tries%2 == 0:
		for _, peer := range s.randomPeers(1) {
			s.send(peer, message.ShardAsk{Hashes: hashes})
		}
		s.askStoreWithoutPeers(hashes)
	default:
		s.emit(effect.ReadShards{Hashes: hashes})
	}
}

func (s *State) askStoreWithoutPeers(hashes []string) {
	if len(s.config.peers) == 0 || s.config.target.from == "" {
		s.emit(effect.ReadShards{Hashes: hashes})
	}
}

// retryShards repeats a question for shards that got no answer.
func (s *State) retryShards() {
	t := &s.config.target
	if t.root.Version == 0 || s.now.Sub(t.lastTry) < shardTimeout {
		return
	}
	t.tries++
	s.askShards()
}
