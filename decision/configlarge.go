package decision

import (
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// A large version passes from host to host too slowly: a host with 10 Mbit/s needs 0.2 s
// to send a quarter of a megabyte to one other host, it sends to three, and it takes four
// such generations to reach a hundred hosts. So most hosts read large versions from the
// store, at random times. The others wait, and then ask a host that has the version.

// largeVersionShards is how many missing shards for each version make a target large:
// with 32 KB each, more take a link of 10 Mbit/s over a tenth of a second for each receiver.
const largeVersionShards = 4

// largeVersionFanout is how many random peers a host tells of a large version that it is
// about to fetch. With eight, one host in three thousand hears of it from none.
const largeVersionFanout = 8

const (
	// storeReadsPerSecond is how many shards all hosts together read from the store in
	// a second: the store answers some two thousand reads in that time.
	storeReadsPerSecond = 2000
	// maxReadDelay bounds the time over which the hosts spread their reads. What the
	// store cannot answer in that time comes from hosts that have it by then.
	maxReadDelay = time.Second
	// largeReadTimeout is when a read of a large version from the store counts as
	// lost: a value of 1 MB takes 0.84 s over a link of 10 Mbit/s.
	largeReadTimeout = 1500 * time.Millisecond
)

// largeFetch is how this host gets the shards of a large version that a peer offered.
// The zero value stands for other versions.
type largeFetch struct {
	isLarge bool
	startAt model.Instant // valid with isLarge
}

// isLargeStep reports whether the target's missing shards are many for the number of
// versions that lead to it. A host that is behind a series of small edits is not to wait
// for its turn at the store.
func (s *State) isLargeStep() bool {
	c := &s.config
	versions := max(1, c.lag.count(c.target.root.Version))
	return s.countMissingShards() > largeVersionShards*versions
}

// planLargeFetch decides how to get the target's shards, if they are many and the store
// seems to answer. It does so once for each target.
func (s *State) planLargeFetch() {
	c := &s.config
	missing := s.countMissingShards()
	if c.target.from == "" || c.root.Version == 0 || c.storeCallFailed || !s.isLargeStep() {
		return
	}
	reads := float64((len(c.peers) + 1) * missing)
	window := time.Duration(reads / storeReadsPerSecond * float64(time.Second))
	share := min(1, maxReadDelay.Seconds()/window.Seconds())
	c.target.readsStore = s.rand.Float64() < share
	delay := time.Duration(s.rand.Int64N(int64(min(window, maxReadDelay))))
	if !c.target.readsStore {
		delay = maxReadDelay + delay/4
	}
	c.target.large = largeFetch{isLarge: true, startAt: s.now.Add(delay)}
	s.setShardTimer(c.target.large.startAt)
}

// announceLargeVersion tells random peers of the target, if it is large.
func (s *State) announceLargeVersion() {
	t := &s.config.target
	if s.config.root.Version == 0 || !s.isLargeStep() {
		return
	}
	t.isAnnounced = true
	for _, peer := range s.randomPeers(largeVersionFanout) {
		s.send(peer, message.ConfigOffer{Root: t.root, Fetching: true})
	}
}

// offerLargeVersion tells random peers that this host has a large version, which hosts
// that the store turns away wait for.
func (s *State) offerLargeVersion() {
	for _, peer := range s.randomPeers(largeVersionFanout) {
		s.send(peer, message.ConfigOffer{Root: configuration.Root{Version: s.config.root.Version}})
	}
}

// countMissingShards returns how many shards of the target are not cached.
func (s *State) countMissingShards() int {
	n := 0
	for _, ref := range s.config.target.pending {
		if _, ok := s.config.shardCache[ref.Hash]; !ok {
			n++
		}
	}
	return n
}

// isWaiting reports whether the target's shards are not to be requested yet.
func (t *configTarget) isWaiting(now model.Instant) bool {
	return t.large.isLarge && now < t.large.startAt
}

// requestTimeout returns when a request for shards counts as lost.
func (t *configTarget) requestTimeout() time.Duration {
	timeout := shardRequestTimeout * time.Duration(min(t.failedRequests+1, maxShardTimeoutFactor))
	if t.large.isLarge && t.readsStore {
		timeout = max(timeout, largeReadTimeout)
	}
	return timeout
}

// requestLargeShards requests shards of a large version from a random peer that has it,
// or from the store if this host is to read it there or knows of no such peer. It reports
// false for other versions, and while requests go unanswered.
func (s *State) requestLargeShards(hashes []string) bool {
	t := &s.config.target
	if !t.large.isLarge || t.failedRequests > 0 {
		return false
	}
	holders := s.config.holdersOf(t.root.Version)
	t.readsStore = !t.storeFailed && (t.readsStore || len(holders) == 0)
	s.setShardTimer(s.now.Add(t.requestTimeout()))
	switch {
	case t.readsStore:
		s.readStoredShards(hashes)
	case len(holders) > 0:
		s.askForShards(holders[s.rand.IntN(len(holders))], hashes)
	}
	return true
}
