package decision

import (
	"fmt"
	"strings"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// configTick is how often lost questions about the configuration are repeated
// and the ownership of the watch is looked at.
const configTick = 500 * time.Millisecond

// offerFanout is how many random peers a host tells of a new version. Hosts
// that none of them reaches learn it from heartbeats.
const offerFanout = 3

// configState is how the host follows the configuration.
type configState struct {
	root   configuration.Root             // in force; version 0: none
	shards map[string]configuration.Shard // of root and target, by hash
	// target is the newest root that is known whole and not in force yet;
	// version 0: none.
	target configTarget
	// seen is the newest version that this host has heard of. No older one is
	// put in force.
	seen uint64
	// rejected is the newest version that did not validate.
	rejected uint64
	peers    []model.HostID          // the other listed entry hosts
	told     map[model.HostID]uint64 // versions that peers told, until one is in force
	asked    int                     // index in peers of the next one to ask for its version

	storeVersion uint64 // of the last root that the store answered
	storeBusy    bool   // a read or a watch of the root waits for its answer
	storeDown    bool   // the last call for the root failed
}

// configTarget is a root whose shards are being fetched.
type configTarget struct {
	root configuration.Root
	// from is the peer that offered the root; empty: it came from the store.
	from model.HostID
	// tries counts questions for missing shards without an answer.
	tries int
	// lastTry is when missing shards were asked for.
	lastTry model.Instant
}

func newConfigState() configState {
	return configState{
		shards: make(map[string]configuration.Shard),
		told:   make(map[model.HostID]uint64),
	}
}

func (s *State) startConfig() {
	s.readRoot()
	s.setConfigTimer()
}

// ownsSlot0 reports whether this host owns slot 0 of its own failure domain.
// The owner watches the root in the store.
func (s *State) ownsSlot0() bool {
	_, ok := s.slotOwned(model.SlotID{Domain: s.domain})
	return ok
}

func (s *State) readRoot() {
	if s.config.storeBusy {
		return
	}
	s.config.storeBusy = true
	s.emit(effect.ReadRoot{})
}

func (s *State) watchRoot() {
	if s.config.storeBusy {
		return
	}
	s.config.storeBusy = true
	s.emit(effect.WatchRoot{After: s.config.storeVersion})
}

func (s *State) onRootRead(e event.RootRead) {
	c := &s.config
	c.storeBusy = false
	c.storeDown = e.Error != event.StoreOK
	if c.storeDown {
		s.askVersions()
		return
	}
	c.storeVersion = max(c.storeVersion, e.StoreVersion)
	if e.Root.Version > 0 {
		s.considerRoot(e.Root, "")
	}
	if s.ownsSlot0() {
		s.watchRoot()
	}
}

func (s *State) onShardsRead(e event.ShardsRead) { s.takeShards(e.Shards) }

func (s *State) setConfigTimer() {
	s.timers.Set(timerKey{kind: timerConfig}, s.now.Add(configTick))
}

func (s *State) onConfigTimer(uint64) {
	s.setConfigTimer()
	s.followStore()
	s.followPeers()
	s.retryShards()
}

// followStore keeps the watch going and repeats a read that failed.
func (s *State) followStore() {
	c := &s.config
	switch {
	case s.ownsSlot0() && c.storeVersion > 0:
		s.watchRoot()
	case c.root.Version == 0, c.seen > c.newest():
		s.readRoot()
	}
}

// newest returns the newest version that is in force or on its way.
func (c *configState) newest() uint64 {
	return max(c.root.Version, c.target.root.Version, c.rejected)
}

// considerRoot makes a root the target if it is newer than what the host has.
// from is the peer that offered it, empty for the store.
func (s *State) considerRoot(root configuration.Root, from model.HostID) {
	c := &s.config
	c.seen = max(c.seen, root.Version)
	if root.Version < c.seen || root.Version <= c.newest() {
		s.confirmTarget(root, from)
		return
	}
	c.target = configTarget{root: root, from: from}
	s.askShards()
	s.completeTarget()
}

// confirmTarget notes that the store holds the target itself.
func (s *State) confirmTarget(root configuration.Root, from model.HostID) {
	t := &s.config.target
	if from == "" && t.root.Version == root.Version {
		t.from = ""
		s.completeTarget()
	}
}

// completeTarget puts the target in force once all its shards are there.
func (s *State) completeTarget() {
	c := &s.config
	version := c.target.root.Version
	if version == 0 || version < c.seen || len(c.missing(1)) > 0 || !s.mayTrustTarget() {
		return
	}
	root := c.target.root
	c.target = configTarget{}
	snapshot, err := c.compile(root)
	if err != nil {
		c.rejected = root.Version
		s.notice(effect.NoticeVersionRejected, fmt.Sprintf("version %d: %s", root.Version, firstLines(err)))
		c.dropShards()
		return
	}
	s.putInForce(root, snapshot)
}

// mayTrustTarget reports whether the target is known to be the newest. The
// store's always is. A host without a configuration that has only peers to
// ask waits for most of them, because a single one may lag behind.
func (s *State) mayTrustTarget() bool {
	c := &s.config
	if c.target.from == "" || c.root.Version > 0 {
		return true
	}
	return 2*len(c.told) > len(c.peers)
}

func (c *configState) compile(root configuration.Root) (*configuration.Snapshot, error) {
	parts := make(configuration.Parts, len(root.Shards))
	for _, ref := range root.Shards {
		parts[ref.Name] = c.shards[ref.Hash].Branches
	}
	tree, err := configuration.Join(parts)
	if err != nil {
		return nil, err
	}
	snapshot, problems := configuration.Compile(tree, root.Version)
	if len(problems) > 0 {
		return nil, problems
	}
	return snapshot, nil
}

// maxNoticeLines bounds the problems that a notice repeats.
const maxNoticeLines = 5

func firstLines(err error) string {
	lines := strings.SplitN(err.Error(), "\n", maxNoticeLines+1)
	return strings.Join(lines[:min(len(lines), maxNoticeLines)], "; ")
}

func (s *State) putInForce(root configuration.Root, snapshot *configuration.Snapshot) {
	c := &s.config
	c.root = root
	c.dropShards()
	clear(c.told)
	s.snapshot = snapshot
	s.notice(effect.NoticeVersion, fmt.Sprintf("version %d", root.Version))
	s.offerVersion()
	s.serversConfigured()
	s.becomeReady()
}

func (s *State) becomeReady() {
	if s.ready || s.stopping {
		return
	}
	s.setReady(true)
	s.notice(effect.NoticeReady, "")
}

// dropShards forgets the shards that neither the root in force nor the target
// names.
func (c *configState) dropShards() {
	kept := make(map[string]configuration.Shard, len(c.root.Shards))
	for _, refs := range [][]configuration.ShardRef{c.root.Shards, c.target.root.Shards} {
		for _, ref := range refs {
			if shard, ok := c.shards[ref.Hash]; ok {
				kept[ref.Hash] = shard
			}
		}
	}
	c.shards = kept
}
