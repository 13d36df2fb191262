package decision

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// maxShardsPerRequest is how many shards one request or one decoding covers.
// At 32 KB each this bounds a message to 256 KB, and the compilation of an
// answer to a few milliseconds of the control goroutine.
const maxShardsPerRequest = 8

// shardRequestTimeout is when a request for shards counts as lost. It grows
// linearly with each failed request, to at most maxShardTimeoutFactor times
// its value.
const (
	shardRequestTimeout   = 400 * time.Millisecond
	maxShardTimeoutFactor = 16
)

// offeredRoot is a complete root and its origin.
type offeredRoot struct {
	root configuration.Root
	// from is the peer that offered it; empty for the store.
	from model.HostID
}

// configTarget is the root that is to become active. Its shards are fetched
// and compiled in batches; the active snapshot does not change until all are.
// The zero value is no target.
type configTarget struct {
	offeredRoot
	compiler *configuration.Compiler
	// pending are the shards that are not compiled yet. Those of inner branches
	// come first, because the others need them.
	pending        []configuration.ShardRef
	failedRequests int           // requests in a row without an answer
	requestedAt    model.Instant // the last request
	lastAsked      model.HostID  // the peer that got the last request to a peer
	readsStore     bool          // the last request went to the store, or the first is to
	storeFailed    bool          // a read from the store failed
	isReplaced     bool          // the store has replaced it by a newer version
	large          largeFetch
	isAnnounced    bool // peers were told of it because it is large
}

// startTarget begins to fetch the shards of a root, but for those that have come with
// it.
func (s *State) startTarget(offer offeredRoot, shards []configuration.Shard) {
	c := &s.config
	root := offer.root
	c.target = configTarget{offeredRoot: offer}
	if s.snapshot.CanBeBase() && configuration.CanCompileIncrementally(c.root, root) {
		c.target.compiler = configuration.NewIncrementalCompiler(s.snapshot, c.root, root)
		c.target.pending = configuration.ChangedShards(c.root, root)
	} else {
		c.target.compiler = configuration.NewCompiler(root.Version)
		c.target.pending = sortInnerFirst(root.Shards)
	}
	c.pruneShardCache()
	for _, shard := range sortAs(c.target.pending, shards) {
		s.compileShard(shard)
	}
	s.announceLargeVersion()
	s.planLargeFetch()
	s.fetchShards()
	s.completeTarget()
}

// sortAs returns those of the shards that are among the references, in their order.
func sortAs(refs []configuration.ShardRef, shards []configuration.Shard) []configuration.Shard {
	var sorted []configuration.Shard
	for _, ref := range refs {
		i := slices.IndexFunc(shards, func(shard configuration.Shard) bool { return shard.Hash == ref.Hash })
		if i >= 0 {
			sorted = append(sorted, shards[i])
		}
	}
	return sorted
}

func sortInnerFirst(refs []configuration.ShardRef) []configuration.ShardRef {
	sorted := slices.Clone(refs)
	slices.SortStableFunc(sorted, func(a, b configuration.ShardRef) int {
		return shardRank(a) - shardRank(b)
	})
	return sorted
}

func shardRank(ref configuration.ShardRef) int {
	if configuration.IsInnerShard(ref.Name) {
		return 0
	}
	return 1
}

// isProgressing reports whether the target's shards arrive without lost
// requests.
func (t *configTarget) isProgressing() bool {
	return t.compiler != nil && t.failedRequests == 0 && !t.isReplaced
}

// startNextRoot makes nextRoot the target, if it is newer than the versions
// that this host has handled.
func (s *State) startNextRoot() {
	c := &s.config
	next := c.nextRoot
	c.nextRoot = offeredRoot{}
	if next.root.Version > c.newestHandled() {
		s.startTarget(next, nil)
	}
}

// completeTarget validates the target and makes it active, once all its shards
// are compiled and it may become active.
func (s *State) completeTarget() {
	c := &s.config
	if c.target.compiler == nil || len(c.target.pending) > 0 || !s.mayActivateTarget() {
		return
	}
	offer, compiler, isAnnounced := c.target.offeredRoot, c.target.compiler, c.target.isAnnounced
	root := offer.root
	c.target = configTarget{}
	snapshot, problems := compiler.Finish()
	if snapshot == nil {
		s.rejectVersion(root.Version, problems)
	} else {
		s.activate(root, offer.from, snapshot)
		if isAnnounced {
			s.offerLargeVersion()
		}
		s.noteUnusableObjects(root.Version, problems)
	}
	s.startNextRoot()
	s.requestUpdate()
}

// fetchShards requests the next batch: the decoding of shards that are cached,
// or else the content of those that are not.
func (s *State) fetchShards() {
	t := &s.config.target
	if len(t.pending) == 0 || t.isWaiting(s.now) {
		return
	}
	t.requestedAt = s.now
	var cached []configuration.Shard
	var missing []string
	for _, ref := range t.nextBatch() {
		if shard, ok := s.config.shardCache[ref.Hash]; ok {
			cached = append(cached, shard)
		} else {
			missing = append(missing, ref.Hash)
		}
	}
	if len(cached) > 0 {
		s.emit(effect.DecodeShards{Shards: cached})
		return
	}
	s.requestShards(missing)
}

// nextBatch returns the first pending shards, at most maxShardsPerRequest and
// not both inner ones and others.
func (t *configTarget) nextBatch() []configuration.ShardRef {
	n := min(len(t.pending), maxShardsPerRequest)
	for i := 1; i < n; i++ {
		if shardRank(t.pending[i]) != shardRank(t.pending[0]) {
			return t.pending[:i]
		}
	}
	return t.pending[:n]
}

// requestShards requests shards from the origin of the root. The request is repeated if
// it is not answered in time.
func (s *State) requestShards(hashes []string) {
	t := &s.config.target
	if s.requestLargeShards(hashes) {
		return
	}
	s.setShardTimer(s.now.Add(t.requestTimeout()))
	t.readsStore = false
	switch {
	case t.failedRequests > 0:
		s.repeatShardRequest(hashes)
	case t.from == "":
		s.readStoredShards(hashes)
	default:
		s.askForShards(t.from, hashes)
	}
}

// shardRetryPeers is how many peers are asked at once after a failed request, unless the
// version is large. A second lost request would make the version late.
const shardRetryPeers = 2

// repeatShardRequest requests shards after a failed request: from peers and, at its turn,
// from the store. A large version is requested from one of them only.
func (s *State) repeatShardRequest(hashes []string) {
	t := &s.config.target
	isStoreTurn := t.isStoreTurn(s.config.storeCallFailed, len(s.config.holdersOf(t.root.Version)) > 0)
	n := shardRetryPeers
	switch {
	case t.large.isLarge && isStoreTurn:
		n = 0
	case t.large.isLarge:
		n = 1
	}
	peers := s.choosePeers(n, s.config.holdersOf(t.root.Version), []model.HostID{t.lastAsked})
	for _, peer := range peers {
		s.askForShards(peer, hashes)
	}
	if isStoreTurn || len(peers) == 0 {
		s.readStoredShards(hashes)
	}
}

// requestsPerStoreRetry is the number of requests for a version of which one goes to the
// store, where it did not answer, and the others to peers that have the version.
const requestsPerStoreRetry = 4

// isStoreTurn reports whether the store is asked after failed requests: at every other
// attempt, or once in requestsPerStoreRetry where it turns this host away and peers are
// known to have the version.
func (t *configTarget) isStoreTurn(storeCallFailed, hasHolder bool) bool {
	if hasHolder && (t.storeFailed || storeCallFailed) {
		return t.failedRequests%requestsPerStoreRetry == requestsPerStoreRetry-1
	}
	isStoreFirst := t.from == ""
	return (t.failedRequests%2 == 0) == isStoreFirst
}

func (s *State) readStoredShards(hashes []string) {
	s.config.target.readsStore = true
	s.config.fetches.sent++
	s.emit(effect.ReadShards{Hashes: hashes})
}

// setShardTimer sets when the shards of the target are requested, for the first time or
// again. The timer replaces an earlier one.
func (s *State) setShardTimer(at model.Instant) {
	s.timers.Set(timerKey{timerConfig, configTimerShards}, at)
}

// onShardTimer requests the shards of a large version, or repeats a request that was not
// answered in time.
func (s *State) onShardTimer() {
	t := &s.config.target
	if t.requestedAt < t.large.startAt {
		s.fetchShards()
		return
	}
	s.retryShards()
}

func (s *State) askForShards(peer model.HostID, hashes []string) {
	s.config.target.lastAsked = peer
	s.config.fetches.sent++
	s.send(peer, message.ShardAsk{Hashes: hashes})
}

// onFailedShardRead turns from the store to a peer at once where the store does not
// answer.
func (s *State) onFailedShardRead() {
	t := &s.config.target
	if t.readsStore && !t.storeFailed {
		t.storeFailed, t.readsStore = true, false
		s.fetchShards()
	}
}

// onReplacedShards turns to the newer version that has replaced the target in the store:
// the one that this host knows of, or else that which the store has.
func (s *State) onReplacedShards() {
	c := &s.config
	if len(c.target.pending) == 0 {
		return
	}
	c.target.isReplaced = true
	if c.nextRoot.root.Version > c.target.root.Version {
		c.target = configTarget{}
		s.startNextRoot()
		return
	}
	s.readRoot()
}

// retryShards repeats a request for shards that was not answered in time, or
// turns to a newer root.
func (s *State) retryShards() {
	t := &s.config.target
	if len(t.pending) == 0 || t.isWaiting(s.now) || s.now.Sub(t.requestedAt) < t.requestTimeout() {
		return
	}
	t.failedRequests++
	s.config.fetches.unanswered++
	s.noteVersionDelayed()
	if s.config.nextRoot.root.Version > t.root.Version {
		s.config.target = configTarget{}
		s.startNextRoot()
		return
	}
	s.fetchShards()
}

// noteVersionDelayed reports that the last request for shards was not answered in time.
func (s *State) noteVersionDelayed() {
	t := &s.config.target
	asked := "the store"
	if !t.readsStore {
		asked = string(t.lastAsked)
	}
	s.emitNotice(effect.NoticeVersionDelayed, fmt.Sprintf("version %d: request %d, to %s, not answered in %v; %d shards missing, %d peers have the version; version %d is known, %d is in force",
		t.root.Version, t.failedRequests, asked, s.now.Sub(t.requestedAt), len(t.pending), len(s.config.holdersOf(t.root.Version)), s.config.newestKnown, s.config.root.Version))
}

func (s *State) onShardsRead(e event.ShardsRead) {
	pending := len(s.config.target.pending)
	s.addShards(e.Shards)
	for _, ref := range s.config.target.pending {
		if slices.Contains(e.Broken, ref.Hash) {
			s.rejectUnavailableShard(ref)
			return
		}
	}
	if e.Error != event.StoreOK {
		s.config.fetches.failed++
	}
	switch {
	case e.Error == event.StoreOK || len(s.config.target.pending) != pending:
	case e.Error == event.StoreReplaced:
		s.onReplacedShards()
	default:
		s.onFailedShardRead()
	}
}

// rejectUnavailableShard gives up the target because the content of one of its
// shards is missing or broken.
func (s *State) rejectUnavailableShard(ref configuration.ShardRef) {
	version := s.config.target.root.Version
	s.config.target = configTarget{}
	s.rejectVersion(version, configuration.Problems{{Expected: "shard " + ref.Name + " with content of hash " + ref.Hash}})
	s.startNextRoot()
}

func (s *State) onShards(from model.HostRef, m message.Shards) {
	for _, shard := range m.Shards {
		if !isIntact(shard) {
			s.emitNotice(effect.NoticeBadMessage, "shard "+shard.Hash+" from "+from.String()+" does not match its hash")
			return
		}
	}
	if m.Root.Version > 0 || len(m.Missing) > 0 {
		s.onUpdate(from, m)
		return
	}
	s.addShards(m.Shards)
}

// isIntact reports whether a shard's content matches its hash and its decoded
// form is there.
func isIntact(shard configuration.Shard) bool {
	sum := sha256.Sum256(shard.Encoded)
	return shard.Branches != nil && hex.EncodeToString(sum[:]) == shard.Hash
}

// addShards compiles the shards that the target waits for and requests the
// next batch.
func (s *State) addShards(shards []configuration.Shard) {
	t := &s.config.target
	before := len(t.pending)
	for _, shard := range shards {
		s.compileShard(shard)
	}
	if len(t.pending) == before {
		return
	}
	t.failedRequests = 0
	s.fetchShards()
	s.completeTarget()
}

func (s *State) compileShard(shard configuration.Shard) {
	t := &s.config.target
	s.cacheShard(shard)
	batch := t.nextBatch()
	i := slices.IndexFunc(batch, hasHash(shard.Hash))
	if i < 0 {
		return
	}
	ref := batch[i]
	t.compiler.Add(ref.Name, shard.Branches)
	t.pending = slices.DeleteFunc(t.pending, func(r configuration.ShardRef) bool { return r == ref })
}

// cacheShard keeps a shard that the target waits for. Only the encoded form is cached, in
// a slice of its own: the buffer of a read may be larger than its content.
func (s *State) cacheShard(shard configuration.Shard) {
	if !slices.ContainsFunc(s.config.target.pending, hasHash(shard.Hash)) {
		return
	}
	s.config.shardCache[shard.Hash] = configuration.Shard{Hash: shard.Hash, Encoded: slices.Clone(shard.Encoded)}
}

func hasHash(hash string) func(configuration.ShardRef) bool {
	return func(ref configuration.ShardRef) bool { return ref.Hash == hash }
}

// onShardAsk answers with the shards that are cached; the receiver decodes them. Where
// some are missing, the answer has the active root, so that the receiver can turn to it.
func (s *State) onShardAsk(from model.HostRef, m message.ShardAsk) {
	var answer message.Shards
	for _, hash := range m.Hashes[:min(len(m.Hashes), maxShardsPerRequest)] {
		if shard, ok := s.config.shardCache[hash]; ok {
			answer.Shards = append(answer.Shards, shard)
		} else {
			answer.Missing = append(answer.Missing, hash)
		}
	}
	if len(answer.Missing) > 0 {
		answer.Root = s.config.root
	}
	s.send(from.ID, answer)
}

// pruneShardCache removes the shards that belong to neither the active root
// nor the target.
func (c *configState) pruneShardCache() {
	kept := make(map[string]configuration.Shard, len(c.root.Shards))
	for _, refs := range [][]configuration.ShardRef{c.root.Shards, c.target.root.Shards} {
		for _, ref := range refs {
			if shard, ok := c.shardCache[ref.Hash]; ok {
				kept[ref.Hash] = shard
			}
		}
	}
	c.shardCache = kept
}
