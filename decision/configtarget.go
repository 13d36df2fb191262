package decision

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// maxShardAsk is how many shards one question or one decoding concerns. At
// 32 KB each this bounds a message to 256 KB, and the compilation of an answer
// to a few milliseconds of the control goroutine.
const maxShardAsk = 8

// shardTimeout is when a question for shards counts as lost. It grows with each
// try, up to maxShardTimeouts times.
const (
	shardTimeout     = 400 * time.Millisecond
	maxShardTimeouts = 16
)

// configOffer is a whole root.
type configOffer struct {
	root configuration.Root
	// from is the peer that offered it; empty: it came from the store.
	from model.HostID
}

// configTarget is the root that is on its way to being in force.
// Its shards are fetched and compiled some at a time; the snapshot in force
// stays as it is until all are. The zero value is no target.
type configTarget struct {
	configOffer
	build *configuration.Build
	// pending are the shards that are not compiled, first those of inner
	// branches, which the others need.
	pending []configuration.ShardRef
	tries   int           // questions for shards without an answer
	askedAt model.Instant // the last question
}

// startTarget begins to fetch the shards of a root. tries is greater than 0
// after another root could not be had from the peer that offered it.
func (s *State) startTarget(offer configOffer, tries int) {
	c := &s.config
	root := offer.root
	c.target = configTarget{configOffer: offer, tries: tries}
	if s.snapshot != nil && configuration.CanRebuild(c.root, root) {
		c.target.build = configuration.Rebuild(s.snapshot, c.root, root)
		c.target.pending = configuration.ChangedShards(c.root, root)
	} else {
		c.target.build = configuration.NewBuild(root.Version)
		c.target.pending = innerFirst(root.Shards)
	}
	c.dropShards()
	s.fetchShards()
	s.completeTarget()
}

func innerFirst(refs []configuration.ShardRef) []configuration.ShardRef {
	sorted := slices.Clone(refs)
	slices.SortStableFunc(sorted, func(a, b configuration.ShardRef) int {
		return rank(a) - rank(b)
	})
	return sorted
}

func rank(ref configuration.ShardRef) int {
	if configuration.IsInnerShard(ref.Name) {
		return 0
	}
	return 1
}

// isMoving reports whether the shards of the target arrive without delay.
func (t *configTarget) isMoving() bool { return t.build != nil && t.tries == 0 }

// startNext makes the newest root that was offered the target, if it is newer.
func (s *State) startNext(tries int) {
	c := &s.config
	next := c.next
	c.next = configOffer{}
	if next.root.Version > c.newest() {
		s.startTarget(next, tries)
	}
}

// completeTarget puts the target in force once all its shards are compiled and
// it may be trusted.
func (s *State) completeTarget() {
	c := &s.config
	if c.target.build == nil || len(c.target.pending) > 0 || !s.mayTrustTarget() {
		return
	}
	root, build := c.target.root, c.target.build
	c.target = configTarget{}
	snapshot, problems := build.Finish()
	if len(problems) > 0 {
		s.rejectVersion(root.Version, problems)
	} else {
		s.putInForce(root, snapshot)
	}
	s.startNext(0)
}

// fetchShards asks for the next pending shards: for the decoding of those that
// are here, else for those that are not.
func (s *State) fetchShards() {
	t := &s.config.target
	if len(t.pending) == 0 {
		return
	}
	t.askedAt = s.now
	var here []configuration.Shard
	var missing []string
	for _, ref := range t.next() {
		if shard, ok := s.config.encoded[ref.Hash]; ok {
			here = append(here, shard)
		} else {
			missing = append(missing, ref.Hash)
		}
	}
	if len(here) > 0 {
		s.emit(effect.DecodeShards{Shards: here})
		return
	}
	s.askShards(missing)
}

// next returns the pending shards that can be compiled now, some of them.
func (t *configTarget) next() []configuration.ShardRef {
	n := min(len(t.pending), maxShardAsk)
	for i := 1; i < n; i++ {
		if rank(t.pending[i]) != rank(t.pending[0]) {
			return t.pending[:i]
		}
	}
	return t.pending[:n]
}

// askShards asks where the root came from, then the store and random peers in
// turn.
func (s *State) askShards(hashes []string) {
	t := &s.config.target
	peer := t.from
	if t.tries > 0 || peer == "" {
		peer = s.shardPeer(t.tries)
	}
	if peer == "" {
		s.emit(effect.ReadShards{Hashes: hashes})
		return
	}
	s.send(peer, message.ShardAsk{Hashes: hashes})
}

// shardPeer returns a random peer for every other try, empty for the store.
func (s *State) shardPeer(try int) model.HostID {
	isStoreFirst := s.config.target.from == ""
	isStoreTurn := (try%2 == 0) == isStoreFirst
	peers := s.randomPeers(1)
	if isStoreTurn || len(peers) == 0 {
		return ""
	}
	return peers[0]
}

// retryShards repeats a question for shards that got no answer.
func (s *State) retryShards() {
	t := &s.config.target
	timeout := shardTimeout * time.Duration(min(t.tries+1, maxShardTimeouts))
	if len(t.pending) == 0 || s.now.Sub(t.askedAt) < timeout {
		return
	}
	t.tries++
	if s.config.next.root.Version > t.root.Version {
		tries := t.tries
		s.config.target = configTarget{}
		s.startNext(tries)
		return
	}
	s.fetchShards()
}

func (s *State) onShardsRead(e event.ShardsRead) {
	s.takeShards(e.Shards)
	for _, ref := range s.config.target.pending {
		if slices.Contains(e.Broken, ref.Hash) {
			s.rejectBroken(ref)
			return
		}
	}
}

// rejectBroken gives up the target because one of its shards cannot be had.
func (s *State) rejectBroken(ref configuration.ShardRef) {
	version := s.config.target.root.Version
	s.config.target = configTarget{}
	s.rejectVersion(version, configuration.Problems{{Expected: "shard " + ref.Name + " with content of hash " + ref.Hash}})
	s.startNext(0)
}

func (s *State) onShards(from model.HostRef, m message.Shards) {
	for _, shard := range m.Shards {
		if !isWhole(shard) {
			s.notice(effect.NoticeBadMessage, "shard "+shard.Hash+" from "+from.String()+" does not match its hash")
			return
		}
	}
	s.takeShards(m.Shards)
}

// isWhole reports whether a shard has the content that its hash names, and its
// decoded form.
func isWhole(shard configuration.Shard) bool {
	sum := sha256.Sum256(shard.Encoded)
	return shard.Branches != nil && hex.EncodeToString(sum[:]) == shard.Hash
}

// takeShards compiles the shards that the target waits for and goes on to the
// next.
func (s *State) takeShards(shards []configuration.Shard) {
	t := &s.config.target
	before := len(t.pending)
	for _, shard := range shards {
		s.compileShard(shard)
	}
	if len(t.pending) == before {
		return
	}
	t.tries = 0
	s.fetchShards()
	s.completeTarget()
}

func (s *State) compileShard(shard configuration.Shard) {
	t := &s.config.target
	branches := shard.Branches
	// Only the encoded form is kept, in a slice of its own: the buffer of a read
	// may be larger than its content.
	shard.Branches = nil
	shard.Encoded = slices.Clone(shard.Encoded)
	for _, ref := range t.next() {
		if ref.Hash != shard.Hash {
			continue
		}
		t.build.Add(ref.Name, branches)
		s.config.encoded[shard.Hash] = shard
		t.pending = slices.DeleteFunc(t.pending, func(r configuration.ShardRef) bool { return r == ref })
		return
	}
}

// onShardAsk answers with the shards that are here. The receiver decodes them.
func (s *State) onShardAsk(from model.HostRef, m message.ShardAsk) {
	var shards []configuration.Shard
	for _, hash := range m.Hashes[:min(len(m.Hashes), maxShardAsk)] {
		if shard, ok := s.config.encoded[hash]; ok {
			shards = append(shards, shard)
		}
	}
	if len(shards) > 0 {
		s.send(from.ID, message.Shards{Shards: shards})
	}
}

// dropShards forgets the shards that neither the root in force nor the target
// names.
func (c *configState) dropShards() {
	kept := make(map[string]configuration.Shard, len(c.root.Shards))
	for _, refs := range [][]configuration.ShardRef{c.root.Shards, c.target.root.Shards} {
		for _, ref := range refs {
			if shard, ok := c.encoded[ref.Hash]; ok {
				kept[ref.Hash] = shard
			}
		}
	}
	c.encoded = kept
}
