package decision

import (
	"fmt"
	"slices"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/membership"
	"pollensail.dev/decision/model"
)

// configTickInterval is how often lost requests about the configuration are
// repeated and the ownership of the store watch is checked.
const configTickInterval = 500 * time.Millisecond

// delegatedReads is how many random peers are asked in each tick to read and watch the
// root by a host that watches it and does not reach the store. With two, an edit reaches
// the fleet in time where the store turns away a third of the hosts, among them all that
// watch.
const delegatedReads = 2

// delegationPeriod is how long a host watches the root for another one that has asked it
// to read: two of its ticks, so that one lost request does not end the watch.
const delegationPeriod = 2 * configTickInterval

// peerWaitTicks is how many ticks a host that knows of a newer version waits
// for peers before it reads the root from the store, so that a change does not
// make every host read at once.
const peerWaitTicks = 4

// ownerlessReadsPerSecond is how often the whole fleet reads the root while
// the watch has no known owner, as at the start of a fleet or where the
// configured domains do not include those of the hosts.
// minOwnerlessReadInterval is the shortest interval between two such reads of
// one host.
const (
	ownerlessReadsPerSecond  = 10
	minOwnerlessReadInterval = time.Second
)

// configState is how the host follows the configuration. The owner of slot 0
// in each failure domain watches the root in the store; the others learn of
// new versions by gossip and heartbeats and fetch the content from peers or
// the store.
type configState struct {
	root       configuration.Root             // of the active configuration; version 0: none
	shardCache map[string]configuration.Shard // shards of root and target by hash, without Branches
	// shardVersions holds, by name, the active version in which this host last saw
	// each shard change.
	shardVersions map[string]uint64
	target        configTarget
	nextRoot      offeredRoot // newer than the target; fetched after it
	// newestKnown is the newest version that this host has learned of.
	newestKnown uint64
	update      updateState
	lag         versionLag
	fetches     fetchCounts
	// behindSince is when the active version last was the newest known, or last
	// advanced.
	behindSince model.Instant
	// ticksBehind counts the ticks since a newer version became known that is not
	// being fetched.
	ticksBehind int
	// rejected is the newest version that did not validate or whose content is
	// incomplete.
	rejected uint64
	// problem says what is wrong with the newest configuration in the store, if it
	// cannot be read.
	problem string
	// unusableObjects says which objects of the active version are unusable and why.
	unusableObjects string
	peers           []model.HostID          // the other listed entry hosts
	peerVersions    map[model.HostID]uint64 // versions that peers reported, until one is active
	// reported holds the peers that have reported a version or that they have none, until
	// a version is active here.
	reported       map[model.HostID]bool
	lastPolledPeer int // index in peers of the last one polled for its version

	// confirmedAt is an instant at which the active version was the newest in the
	// store. It is no later than when the call that confirmed it was sent. Valid
	// with isConfirmed.
	confirmedAt model.Instant
	isConfirmed bool
	// pendingConfirmation is for a version that is not active yet.
	pendingConfirmation versionConfirmation

	storeVersion      uint64        // highest store version returned with a root
	storeRestores     uint64        // how often the store has come back from an older copy
	nextOwnerlessRead model.Instant // when to read while the watch has no known owner
	delegatedUntil    model.Instant // until when to watch for a host that does not reach the store
	isStoreEmpty      bool          // the store has no root
	isReading         bool          // a read of the root is pending
	isWatching        bool          // a watch of the root is pending
	storeCallFailed   bool          // the last read or watch of the root failed
}

func newConfigState() configState {
	return configState{
		shardCache:   make(map[string]configuration.Shard),
		peerVersions: make(map[model.HostID]uint64),
		reported:     make(map[model.HostID]bool),
	}
}

func (s *State) startConfig() {
	s.readRoot()
	s.setConfigTimer()
}

// ownsSlot0 reports whether this host owns slot 0 of its failure domain. Its
// owner watches the root in the store.
func (s *State) ownsSlot0() bool {
	_, ok := s.ownedSlot(model.SlotID{Domain: s.domain})
	return ok
}

func (s *State) readRoot() {
	if s.config.isReading {
		return
	}
	s.config.isReading = true
	s.emit(effect.ReadRoot{})
}

func (s *State) watchRoot() {
	if s.config.isWatching {
		return
	}
	s.config.isWatching = true
	s.emit(effect.WatchRoot{After: s.config.storeVersion})
}

// onRootRead handles the answer of a read or a watch. Which one it is does not
// matter, because a new watch replaces the one before.
func (s *State) onRootRead(e event.RootRead) {
	c := &s.config
	c.isReading = false
	c.isWatching = false
	c.storeCallFailed = e.Error != event.StoreOK
	s.setRootProblem(e)
	s.onEvacuationRead(e.Evacuation)
	if c.storeCallFailed {
		s.pollPeerVersions()
		return
	}
	s.limits.members.StoreReached(e.SentAt)
	c.storeVersion = max(c.storeVersion, e.StoreVersion)
	c.storeRestores = max(c.storeRestores, e.Restores)
	c.isStoreEmpty = e.Root.Version == 0
	if e.Root.Version > 0 {
		s.onRootOffered(e.Root, "")
		s.confirmVersion(e.Root.Version, e.SentAt)
	}
	if c.needsPeerVersions() {
		s.pollPeerVersions()
	}
	if s.isWatcher() {
		s.watchRoot()
	}
}

// isWatcher reports whether this host watches the root, for its failure domain or for
// another host that does not reach the store.
func (s *State) isWatcher() bool {
	return s.ownsSlot0() || s.now < s.config.delegatedUntil
}

func (s *State) setConfigTimer() {
	s.timers.Set(timerKey{kind: timerConfig}, s.now.Add(configTickInterval))
}

// IDs of timerConfig.
const (
	configTimerTick   uint64 = iota
	configTimerShards        // the shards of the target are to be requested
	configTimerUpdate        // requests for an update were not answered
)

func (s *State) onConfigTimer(id uint64) {
	switch id {
	case configTimerShards:
		s.onShardTimer()
		return
	case configTimerUpdate:
		s.onUpdateTimer()
		return
	}
	s.setConfigTimer()
	s.syncWithStore()
	s.pullFromPeers()
	s.retryShards()
	s.updateReadiness()
}

// syncWithStore keeps the watch open where this host owns it, and reads the
// root where it cannot get it otherwise.
func (s *State) syncWithStore() {
	c := &s.config
	c.ticksBehind++
	if c.newestKnown <= c.newestHandled() {
		c.ticksBehind = 0
	}
	switch {
	case s.ownsSlot0() && c.storeCallFailed:
		s.readRoot()
		s.delegateRead()
	case s.ownsSlot0(), s.isWatcher() && !c.storeCallFailed:
		s.watchRoot()
	case c.newestHandled() == 0 && c.isStoreEmpty:
		s.watchRoot()
	case c.newestHandled() == 0, c.ticksBehind > peerWaitTicks, s.isOwnerlessRead():
		s.readRoot()
	}
	if s.isConfirmationDue() {
		s.readRoot()
	}
}

// isOwnerlessRead reports whether this host is to read the root now because
// the watch has no known owner. If so, it also sets the time of the next such
// read: intervals are random, with a mean that keeps the rate of the whole
// fleet constant.
func (s *State) isOwnerlessRead() bool {
	c := &s.config
	_, isKnown := s.slotOwner(model.SlotID{Domain: s.domain})
	if isKnown || s.now < c.nextOwnerlessRead {
		return false
	}
	mean := time.Second * time.Duration(len(c.peers)+1) / ownerlessReadsPerSecond
	interval := max(minOwnerlessReadInterval, time.Duration(s.rand.Int64N(int64(2*mean))))
	c.nextOwnerlessRead = s.now.Add(interval)
	return true
}

// newestHandled returns the newest version that is active, being fetched or
// rejected.
func (c *configState) newestHandled() uint64 {
	return max(c.root.Version, c.target.root.Version, c.rejected)
}

// onRootOffered makes a root the target if it is newer than what the host has.
// A host that serves an older version first completes a target that is
// progressing, so that it advances however fast edits follow each other.
func (s *State) onRootOffered(root configuration.Root, from model.HostID) {
	c := &s.config
	s.noteKnownVersion(root.Version)
	offer := offeredRoot{root, from}
	switch {
	case root.Version <= c.newestHandled():
		s.markTargetStored(offer)
	case c.isAdvancing():
		if root.Version > c.nextRoot.root.Version {
			c.nextRoot = offer
		}
	default:
		s.startTarget(offer, nil)
	}
}

// isAdvancing reports whether this host has a version in force, and a newer one arrives
// without lost requests.
func (c *configState) isAdvancing() bool { return c.root.Version > 0 && c.target.isProgressing() }

// markTargetStored records that the store holds the target that a peer
// offered.
func (s *State) markTargetStored(offer offeredRoot) {
	t := &s.config.target
	if offer.from == "" && offer.root.Version == t.root.Version {
		t.from = ""
		s.completeTarget()
	}
}

func (s *State) noteKnownVersion(version uint64) {
	c := &s.config
	if s.isConfigCurrent() {
		c.behindSince = s.now
	}
	c.newestKnown = max(c.newestKnown, version)
	if version > max(c.root.Version, c.rejected) {
		c.lag.learn(version, s.now)
	}
}

// isConfigCurrent reports whether no newer version than the active one is
// known, except for a rejected one.
func (s *State) isConfigCurrent() bool {
	active := uint64(0)
	if s.snapshot != nil {
		active = s.snapshot.Version
	}
	return s.config.newestKnown <= max(active, s.config.rejected)
}

// maxBehindTime is how long a host serves with a version that it knows to be
// outdated. Without this bound a revoked key would go on working at this host.
const maxBehindTime = 3 * time.Second

// isConfigBehind reports whether the host fails to get a version that others
// have, as behind a one-way network partition. While the store is down for
// all, possibly nobody can get the version, and valid keys go on working.
func (s *State) isConfigBehind() bool {
	c := &s.config
	if s.isConfigCurrent() || s.now.Sub(c.behindSince) <= maxBehindTime {
		return false
	}
	return s.limits.members.Authority(s.now).Authority == membership.Connected
}

// mayActivateTarget reports whether the target may become active. For a host
// with a configuration that is any newer version. A host without one takes
// only the newest version that it knows of: from the store, or, with only
// peers to ask, once a majority of them has reported its version, because a
// single peer may lag behind.
func (s *State) mayActivateTarget() bool {
	c := &s.config
	switch {
	case c.root.Version > 0:
		return true
	case c.target.root.Version < c.newestKnown:
		return false
	case c.target.from == "":
		return c.storeRestores == 0 || s.isStoredVersionUsable()
	default:
		return 2*len(c.peerVersions) > len(c.peers)
	}
}

// restoredVersionWait is how long after its start a host waits for reports of its peers,
// where the store has come back from an older copy. The entries of hosts are gone with
// their leases then; most hosts are listed again within two seconds.
const restoredVersionWait = 3 * time.Second

// isStoredVersionUsable reports whether a host without a configuration may take the version
// of a store that has come back from an older copy. Its peers may have a newer one in force,
// which the operators have yet to write again, so more than half of them are asked.
func (s *State) isStoredVersionUsable() bool {
	c := &s.config
	isReported := len(c.peers) > 0 && 2*len(c.reported) > len(c.peers)
	return isReported || s.now >= s.startedAt.Add(restoredVersionWait)
}

// needsPeerVersions reports whether the host has no configuration and cannot rely on the
// store alone.
func (c *configState) needsPeerVersions() bool {
	return c.root.Version == 0 && (c.storeCallFailed || c.storeRestores > 0)
}

// activate puts a version in force. source is the peer that offered it, empty for the
// store.
func (s *State) activate(root configuration.Root, source model.HostID, snapshot *configuration.Snapshot) {
	c := &s.config
	before := c.root.Version
	c.setRoot(root)
	c.behindSince = s.now
	s.applyPendingConfirmation()
	c.pruneShardCache()
	clear(c.peerVersions)
	clear(c.reported)
	targets := s.announcementTargets()
	c.update.holders = slices.DeleteFunc(c.update.holders, func(h versionHolder) bool { return h.version <= root.Version })
	s.snapshot = snapshot
	lag := c.lag.advance(root.Version, s.now)
	s.emitNotice(effect.NoticeVersion, s.describeAdvance(before, root.Version, source, lag))
	c.fetches = fetchCounts{}
	s.announceVersion(targets)
	s.applyServerConfig()
	s.updateReadiness()
}

// setRootProblem remembers what is wrong with the configuration in the store, and
// reports it once. An outage changes nothing.
func (s *State) setRootProblem(e event.RootRead) {
	c := &s.config
	if e.Problem == "" && e.Error != event.StoreOK {
		return
	}
	if e.Problem != "" && e.Problem != c.problem {
		s.emitNotice(effect.NoticeVersionRejected, e.Problem)
	}
	c.problem = e.Problem
}

// rejectVersion keeps the active version, because a newer one does not
// validate or its content is incomplete.
func (s *State) rejectVersion(version uint64, problems configuration.Problems) {
	c := &s.config
	c.rejected = version
	c.lag.forget(version)
	c.pruneShardCache()
	s.emitNotice(effect.NoticeVersionRejected, describeVersion(version, problems))
}

// noteUnusableObjects records what is wrong with a version that is in force without
// some of its objects, so that operators see why requests to these are refused.
func (s *State) noteUnusableObjects(version uint64, problems configuration.Problems) {
	s.config.unusableObjects = ""
	if len(problems) > 0 {
		s.config.unusableObjects = describeVersion(version, problems)
		s.emitNotice(effect.NoticeUnusableObjects, s.config.unusableObjects)
	}
}

func describeVersion(version uint64, problems configuration.Problems) string {
	return fmt.Sprintf("version %d, %d problems: %s", version, len(problems), problems.Describe())
}
