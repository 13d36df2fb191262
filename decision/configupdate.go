package decision

import (
	"fmt"
	"slices"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// A host that knows of a newer version than its own asks a peer for an update: the root
// that is in force there, whichever that is by then, and the shards that differ. So the
// peer can always answer, however fast versions follow each other, and one answer puts
// the newest version in force. A version with many changed shards comes as a root alone;
// its shards are fetched as those of a target.

const (
	// updateTimeout is when a request for an update counts as lost.
	updateTimeout = 400 * time.Millisecond
	// updateHedgeDelay is how long a request may be outstanding before another peer
	// that announces a newer version is asked as well.
	updateHedgeDelay = 150 * time.Millisecond
	// updateRetryPeers is how many peers are asked at once after a lost request.
	updateRetryPeers = 2
	// maxVersionHolders bounds the peers that are kept as known to have a newer version.
	maxVersionHolders = 32
)

// updateState is how this host asks peers for a newer version than it has.
type updateState struct {
	holders []versionHolder // peers with a newer version than the active one; latest news last
	asked   []model.HostID  // the peers whose answers are outstanding
	askedAt model.Instant   // of the last request; valid if asked is not empty
}

// versionHolder is a peer and the newest version that it is known to have in force.
type versionHolder struct {
	peer    model.HostID
	version uint64
}

// noteHolder records that a peer has a version in force. Where the store failed, the
// first peer that has the version that is being fetched is asked at once.
func (s *State) noteHolder(peer model.HostID, version uint64) {
	c := &s.config
	if version <= c.root.Version {
		return
	}
	isFirst := version >= c.target.root.Version && len(c.holdersOf(c.target.root.Version)) == 0
	c.update.addHolder(peer, version)
	if c.target.compiler != nil && c.target.storeFailed && isFirst {
		s.fetchShards()
	}
}

func (u *updateState) addHolder(peer model.HostID, version uint64) {
	i := slices.IndexFunc(u.holders, func(h versionHolder) bool { return h.peer == peer })
	if i >= 0 {
		version = max(version, u.holders[i].version)
		u.holders = slices.Delete(u.holders, i, i+1)
	} else if len(u.holders) == maxVersionHolders {
		u.holders = slices.Delete(u.holders, 0, 1)
	}
	u.holders = append(u.holders, versionHolder{peer, version})
}

// dropHolder forgets a peer that has answered that it does not have what it was known
// for, as after a restart. Otherwise it would be asked again at each such answer.
func (u *updateState) dropHolder(peer model.HostID) {
	u.holders = slices.DeleteFunc(u.holders, func(h versionHolder) bool { return h.peer == peer })
}

// holdersOf returns the peers that are known to have a version or a newer one.
func (c *configState) holdersOf(version uint64) []model.HostID {
	var peers []model.HostID
	for _, h := range c.update.holders {
		if h.version >= version {
			peers = append(peers, h.peer)
		}
	}
	return peers
}

// needsUpdate reports whether a version is known that is newer than the active one and
// those that are being fetched.
func (c *configState) needsUpdate() bool {
	return c.newestKnown > max(c.newestHandled(), c.nextRoot.root.Version)
}

// requestUpdate asks a peer that has a newer version than this host, unless the answer
// to an earlier request is due.
func (s *State) requestUpdate() {
	c := &s.config
	u := &c.update
	if !c.needsUpdate() || len(u.asked) > 0 && s.now.Sub(u.askedAt) < updateHedgeDelay {
		return
	}
	newest := -1
	for i, h := range u.holders {
		isUsable := h.version > c.newestHandled() && !slices.Contains(u.asked, h.peer)
		if isUsable && (newest < 0 || h.version > u.holders[newest].version) {
			newest = i
		}
	}
	if newest >= 0 {
		s.askForUpdate(u.holders[newest].peer)
	}
}

// askForUpdate asks one peer for an update. A host that has no version yet, or fetches a
// large one, asks for the root alone.
func (s *State) askForUpdate(peer model.HostID) {
	c := &s.config
	c.update.asked = append(c.update.asked, peer)
	c.update.askedAt = s.now
	s.timers.Set(timerKey{timerConfig, configTimerUpdate}, s.now.Add(updateTimeout))
	s.requestRoot(peer, c.root.Version > 0 && !c.target.large.isLarge)
}

// onUpdateTimer asks other peers where a request was not answered in time.
func (s *State) onUpdateTimer() {
	c := &s.config
	silent := c.update.asked
	c.update.asked = nil
	if !c.needsUpdate() {
		return
	}
	if len(silent) > 0 {
		c.fetches.unanswered += len(silent)
		s.emitNotice(effect.NoticeVersionDelayed, fmt.Sprintf("no update from %v in %v; version %d is known, %d is in force",
			silent, s.now.Sub(c.update.askedAt), c.newestKnown, c.root.Version))
	}
	for _, peer := range s.choosePeers(updateRetryPeers, c.holdersOf(c.newestHandled()+1), silent) {
		s.askForUpdate(peer)
	}
}

// choosePeers returns up to n random peers of those that are preferred, or else of all,
// without those that were silent.
func (s *State) choosePeers(n int, preferred, silent []model.HostID) []model.HostID {
	isSilent := func(peer model.HostID) bool { return slices.Contains(silent, peer) }
	peers := slices.DeleteFunc(slices.Clone(preferred), isSilent)
	if len(peers) == 0 {
		peers = slices.DeleteFunc(s.randomPeers(n+len(silent)), isSilent)
	}
	s.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// endUpdateRequest records that a peer has answered a request for an update.
func (s *State) endUpdateRequest(peer model.HostID) {
	u := &s.config.update
	u.asked = slices.DeleteFunc(u.asked, func(p model.HostID) bool { return p == peer })
}

// answerUpdateRequest answers a peer that asks for what is newer than its version: with
// the root, with the shards that differ if it asks for them and they are few, or
// otherwise with the version that is in force here, 0 for none.
func (s *State) answerUpdateRequest(to model.HostID, m message.ConfigOffer) {
	root := s.config.root
	switch {
	case root.Version <= m.Root.Version:
		root = configuration.Root{Version: root.Version}
	case m.WithShards:
		s.send(to, message.Shards{Root: root, Shards: s.config.shardsSince(m.Root.Version, m.Cached)})
		return
	}
	s.send(to, message.ConfigOffer{Root: root, Evacuation: s.evacuation.set})
}

// shardsSince returns the shards that may differ from those of an older version, but for
// those that the asker has, and none if they are too many for one message.
func (c *configState) shardsSince(version uint64, asker []string) []configuration.Shard {
	var shards []configuration.Shard
	for _, ref := range c.root.Shards {
		shard, ok := c.shardCache[ref.Hash]
		if !ok || c.shardVersions[ref.Name] <= version || slices.Contains(asker, ref.Hash) {
			continue
		}
		if len(shards) == maxShardsPerRequest {
			return nil
		}
		shards = append(shards, shard)
	}
	return shards
}

// newShardHashes returns the hashes of cached shards that the active root does not have.
func (c *configState) newShardHashes() []string {
	active := make(map[string]bool, len(c.root.Shards))
	for _, ref := range c.root.Shards {
		active[ref.Hash] = true
	}
	var hashes []string
	for hash := range c.shardCache {
		if !active[hash] {
			hashes = append(hashes, hash)
		}
	}
	slices.Sort(hashes)
	return hashes[:min(len(hashes), message.MaxCachedHashes)]
}

// setRoot replaces the active root, and notes which shards it changes.
func (c *configState) setRoot(root configuration.Root) {
	versions := make(map[string]uint64, len(root.Shards))
	for _, ref := range root.Shards {
		versions[ref.Name] = c.shardVersions[ref.Name]
	}
	for _, ref := range configuration.ChangedShards(c.root, root) {
		versions[ref.Name] = root.Version
	}
	c.root, c.shardVersions = root, versions
}

// onUpdate handles a peer's root with shards: an update, or the answer to a request for
// shards that the peer does not have. In the latter case this host asks for an update,
// which may have all that is missing; the shards that it has got so far stay cached.
func (s *State) onUpdate(from model.HostRef, m message.Shards) {
	c := &s.config
	s.endUpdateRequest(from.ID)
	s.noteKnownVersion(m.Root.Version)
	s.noteHolder(from.ID, m.Root.Version)
	s.notePeerVersion(from.ID, m.Root.Version)
	isNewer := m.Root.Version > c.newestHandled()
	switch {
	case isNewer && (s.hasContent(m) || !c.isAdvancing()):
		s.startTarget(offeredRoot{m.Root, from.ID}, m.Shards)
	case isNewer && s.isReplaced(m.Missing):
		for _, shard := range m.Shards {
			s.cacheShard(shard)
		}
		c.target = configTarget{}
		s.askForUpdate(from.ID)
	case isNewer:
		s.onRootOffered(m.Root, from.ID)
		s.addShards(m.Shards)
	default:
		s.addShards(m.Shards)
		s.onMissingShards(from.ID, m.Missing)
	}
	s.requestUpdate()
}

// hasContent reports whether a root comes with all shards that this host lacks.
func (s *State) hasContent(m message.Shards) bool {
	c := &s.config
	if c.root.Version == 0 {
		return false
	}
	isGiven := func(hash string) bool {
		return slices.ContainsFunc(m.Shards, func(shard configuration.Shard) bool { return shard.Hash == hash })
	}
	for _, ref := range configuration.ChangedShards(c.root, m.Root) {
		if _, ok := c.shardCache[ref.Hash]; !ok && !isGiven(ref.Hash) {
			return false
		}
	}
	return true
}

// isReplaced reports whether the target needs one of the shards that a peer has
// replaced. The target would have to wait for another peer that still has it.
func (s *State) isReplaced(missing []string) bool {
	needsShard := func(ref configuration.ShardRef) bool { return slices.Contains(missing, ref.Hash) }
	return slices.ContainsFunc(s.config.target.pending, needsShard)
}

// onMissingShards asks another peer for shards that the one that was asked does not have
// yet, if one is known.
func (s *State) onMissingShards(from model.HostID, missing []string) {
	t := &s.config.target
	if from != t.lastAsked || !s.isReplaced(missing) {
		return
	}
	s.config.update.dropHolder(from)
	for _, holder := range s.config.holdersOf(t.root.Version) {
		if holder != from {
			s.askForShards(holder, missing)
			return
		}
	}
}
