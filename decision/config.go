package decision

import (
	"fmt"
	"strings"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/membership"
	"pollensail.dev/decision/model"
)

// configTick is how often lost questions about the configuration are repeated
// and the ownership of the watch is looked at.
const configTick = 500 * time.Millisecond

// offerFanout is how many random peers a host tells of a new version. Hosts
// that none of them reaches learn it from heartbeats.
const offerFanout = 3

// storePatience is how many ticks a host that heard of a newer version waits
// for peers before it reads the root from the store, so that a change does not
// make every host read at once.
const storePatience = 4

// ownerlessReads is how often in a second the whole fleet reads the root while
// no owner of the watch is known, as at the start of a fleet or with domains in
// the tree that no host has. ownerlessPause is the shortest pause of one host.
const (
	ownerlessReads = 10
	ownerlessPause = time.Second
)

// configState is how the host follows the configuration.
type configState struct {
	root    configuration.Root             // in force; version 0: none
	encoded map[string]configuration.Shard // of root and target by hash, without Branches
	target  configTarget
	next    configOffer // newer than the target; starts after it
	// seen is the newest version that this host has heard of.
	seen uint64
	// behindSince is when this host last was at the version that it had heard
	// of, or last came nearer to it.
	behindSince model.Instant
	// behind counts the ticks since a version was heard of that is not on its
	// way.
	behind int
	// rejected is the newest version that did not validate.
	rejected uint64
	peers    []model.HostID          // the other listed entry hosts
	told     map[model.HostID]uint64 // versions that peers told, until one is in force
	asked    int                     // index in peers of the last one asked for its version

	// confirmedAt is an instant at which the version in force was the newest in
	// the store: no later than the answer that said so. isConfirmed is false
	// before the first.
	confirmedAt model.Instant
	isConfirmed bool
	// proof is for a version that is on its way.
	proof versionProof

	storeVersion uint64        // of the last root that the store answered
	nextRead     model.Instant // when to read while no owner is known
	isStoreEmpty bool          // the store answered that it has no root
	isReading    bool          // a read of the root waits for its answer
	isWatching   bool          // a watch of the root waits for its answer
	storeDown    bool          // the last call for the root failed
}

func newConfigState() configState {
	return configState{
		encoded: make(map[string]configuration.Shard),
		told:    make(map[model.HostID]uint64),
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

// onRootRead takes the answer of a read or a watch; which one it is does not
// matter, because a new watch replaces the one before.
func (s *State) onRootRead(e event.RootRead) {
	c := &s.config
	c.isReading = false
	c.isWatching = false
	c.storeDown = e.Error != event.StoreOK
	if c.storeDown {
		s.askVersions()
		return
	}
	s.limits.members.StoreReached(e.SentAt)
	c.storeVersion = max(c.storeVersion, e.StoreVersion)
	c.isStoreEmpty = e.Root.Version == 0
	if e.Root.Version > 0 {
		s.considerRoot(e.Root, "")
		s.confirmVersion(e.Root.Version, e.SentAt)
	}
	if s.ownsSlot0() {
		s.watchRoot()
	}
}

func (s *State) setConfigTimer() {
	s.timers.Set(timerKey{kind: timerConfig}, s.now.Add(configTick))
}

func (s *State) onConfigTimer(uint64) {
	s.setConfigTimer()
	s.followStore()
	s.followPeers()
	s.retryShards()
	s.updateReady()
}

// followStore keeps the watch going and repeats a read that failed.
func (s *State) followStore() {
	c := &s.config
	c.behind++
	if c.seen <= c.newest() {
		c.behind = 0
	}
	switch {
	case s.ownsSlot0():
		s.watchRoot()
	case c.newest() == 0 && c.isStoreEmpty:
		s.watchRoot()
	case c.newest() == 0, c.behind > storePatience, s.isOwnerlessRead():
		s.readRoot()
	}
	if s.isConfirmationDue() {
		s.readRoot()
	}
}

// isOwnerlessRead reports whether it is this host's turn to read the root in
// place of an owner of the watch.
func (s *State) isOwnerlessRead() bool {
	c := &s.config
	_, isKnown := s.slotOwner(model.SlotID{Domain: s.domain})
	if isKnown || s.now < c.nextRead {
		return false
	}
	mean := time.Second * time.Duration(len(c.peers)+1) / ownerlessReads
	pause := max(ownerlessPause, time.Duration(s.rand.Int64N(int64(2*mean))))
	c.nextRead = s.now.Add(pause)
	return true
}

// newest returns the newest version that is in force, on its way or rejected.
func (c *configState) newest() uint64 {
	return max(c.root.Version, c.target.root.Version, c.rejected)
}

// considerRoot makes a root the target if it is newer than what the host has. A
// host that serves an older version lets a target that is moving complete first,
// so that it comes forward however fast edits follow each other.
func (s *State) considerRoot(root configuration.Root, from model.HostID) {
	c := &s.config
	s.heardVersion(root.Version)
	offer := configOffer{root, from}
	switch {
	case root.Version <= c.newest():
		s.confirmTarget(offer)
	case c.root.Version > 0 && c.target.isMoving():
		if root.Version > c.next.root.Version {
			c.next = offer
		}
	default:
		s.startTarget(offer, 0)
	}
}

// confirmTarget takes note that the store holds what a peer offered.
func (s *State) confirmTarget(offer configOffer) {
	t := &s.config.target
	if offer.from == "" && offer.root.Version == t.root.Version {
		t.from = ""
		s.completeTarget()
	}
}

func (s *State) heardVersion(version uint64) {
	c := &s.config
	if s.isCurrent() {
		c.behindSince = s.now
	}
	c.seen = max(c.seen, version)
}

// isCurrent reports whether no newer version than the one in force was heard
// of, except for a rejected one.
func (s *State) isCurrent() bool {
	inForce := uint64(0)
	if s.snapshot != nil {
		inForce = s.snapshot.Version
	}
	return s.config.seen <= max(inForce, s.config.rejected)
}

// behindLimit is how long a host serves by a version that it knows to be
// replaced. Longer, and a withdrawn key would work on there.
const behindLimit = 3 * time.Second

// isConfigBehind reports whether the host fails to get a version that others
// have, as behind a line that is cut in one direction. While the store is down
// for all, nobody may be able to get it, and valid keys go on working.
func (s *State) isConfigBehind() bool {
	c := &s.config
	if s.isCurrent() || s.now.Sub(c.behindSince) <= behindLimit {
		return false
	}
	return s.limits.members.Authority(s.now).Authority == membership.Connected
}

// mayTrustTarget reports whether the target may be put in force. For a host
// with a configuration that is any newer version. A host without one takes the
// newest that it has heard of, from the store; with only peers to ask, it waits
// for most of them, because a single one may lag behind.
func (s *State) mayTrustTarget() bool {
	c := &s.config
	if c.root.Version > 0 {
		return true
	}
	isNewest := c.target.root.Version >= c.seen
	return isNewest && (c.target.from == "" || 2*len(c.told) > len(c.peers))
}

func (s *State) putInForce(root configuration.Root, snapshot *configuration.Snapshot) {
	c := &s.config
	c.root = root
	c.behindSince = s.now
	s.applyProof()
	c.dropShards()
	clear(c.told)
	s.snapshot = snapshot
	s.notice(effect.NoticeVersion, fmt.Sprintf("version %d", root.Version))
	s.offerVersion()
	s.serversConfigured()
	s.updateReady()
}

// updateReady lets the balancer send requests while this host can serve them.
func (s *State) updateReady() {
	isReady := s.snapshot != nil && !s.stopping && !s.isIsolated() && !s.isConfigBehind()
	isReady = isReady && (s.ready || s.knowsOwners())
	if isReady && !s.ready {
		s.notice(effect.NoticeReady, "")
	}
	s.setReady(isReady)
}

// ownersWithin is how long a new host waits to hear of the slots' owners. It
// does not wait for ever, because a slot may have lost its owner.
const ownersWithin = 5 * time.Second

// knowsOwners reports whether a new host knows whom to ask for tokens and
// claims. Without that it refuses requests that other hosts can serve.
func (s *State) knowsOwners() bool {
	if s.now >= s.startedAt.Add(ownersWithin) {
		return true
	}
	for _, id := range s.snapshot.Slots() {
		if _, ok := s.slotOwner(id); !ok {
			return false
		}
	}
	return true
}

// maxNoticeLines bounds the problems that a notice repeats.
const maxNoticeLines = 5

// rejectVersion keeps the version in force, because a newer one does not
// validate.
func (s *State) rejectVersion(version uint64, problems configuration.Problems) {
	c := &s.config
	c.rejected = version
	c.dropShards()
	shown := problems[:min(len(problems), maxNoticeLines)].Error()
	detail := strings.ReplaceAll(shown, "\n", "; ")
	s.notice(effect.NoticeVersionRejected, fmt.Sprintf("version %d, %d problems: %s", version, len(problems), detail))
}
