package decision_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// treeStore holds the configuration tree as the store has it, and what is
// known of the hosts that follow it.
type treeStore struct {
	c             *qt.C
	fleet         *fleettest.Fleet
	rand          *rand.Rand
	root          configuration.Root
	tree          configuration.Tree
	shards        map[string]configuration.Shard
	wantSnapshots map[uint64]*configuration.Snapshot // nil: the version is invalid
	watches       map[*fleettest.Host]bool
	activeVersion map[model.HostRef]uint64
	ready         map[model.HostRef]bool
	storedAt      map[uint64]time.Duration       // of each version
	staleness     map[model.HostID]time.Duration // the longest time of each host without the version after its own
	rejected      int
	reads         int           // of shards in the store
	rootReads     int           // without watches
	restores      uint64        // how often the store has come back from an older copy
	callTimeout   time.Duration // after which a call fails that the store does not answer; 0: it is refused at once
}

// newTreeFleet returns a fleet that has not read the tree in the store yet.
func newTreeFleet(t testing.TB, hosts int, seed uint64, link fleettest.LinkQuality) *treeStore {
	s := &treeStore{
		c:             qt.New(t),
		rand:          rand.New(rand.NewPCG(seed, 6)),
		shards:        make(map[string]configuration.Shard),
		wantSnapshots: make(map[uint64]*configuration.Snapshot),
		watches:       make(map[*fleettest.Host]bool),
		activeVersion: make(map[model.HostRef]uint64),
		ready:         make(map[model.HostRef]bool),
		storedAt:      make(map[uint64]time.Duration),
		staleness:     make(map[model.HostID]time.Duration),
	}
	s.edit(sampleTree())
	o := fleettest.Options{Seed: seed, Link: link, Intercept: s.intercept}
	s.fleet = fleettest.New(o)
	s.fleet.Options.Hosts = entryHosts(hosts, 4)
	for _, entry := range s.fleet.Options.Hosts {
		s.fleet.Start(entry)
	}
	return s
}

const sampleAccounts = 600

// sampleTree returns a tree whose accounts are spread over several shards.
func sampleTree() configuration.Tree {
	tree := configuration.Tree{Branches: make(map[configuration.Path]configuration.Settings)}
	tree.Set("", "domains", "d0\nd1\nd2\nd3")
	tree.Set("accounts", "rate", "20/s")
	tree.Set("accounts", "burst", "40")
	for i := range sampleAccounts {
		p := account(i)
		tree.Set(p, "keys", configuration.FormatKey(sha256.Sum256([]byte(p))))
	}
	tree.Set("services/lookup", "servers", "127.0.0.1:9000")
	tree.Set("routes/rings", "path", "/rings")
	tree.Set("routes/rings", "service", "lookup")
	return tree
}

func account(i int) configuration.Path {
	return configuration.Path(fmt.Sprintf("accounts/customer-%03d", i))
}

// edit stores the tree as the next version.
func (s *treeStore) edit(tree configuration.Tree) {
	root := configuration.Root{Version: s.root.Version + 1}
	parts := configuration.Split(tree)
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		encoded := []byte(fmt.Sprint(name, parts[name]))
		sum := sha256.Sum256(encoded)
		shard := configuration.Shard{Hash: hex.EncodeToString(sum[:]), Encoded: encoded, Branches: parts[name]}
		s.shards[shard.Hash] = shard
		root.Shards = append(root.Shards, configuration.ShardRef{Name: name, Hash: shard.Hash})
	}
	s.root, s.tree = root, tree
	if s.fleet != nil {
		s.storedAt[root.Version] = s.fleet.Now
	}
	s.wantSnapshots[root.Version], _ = configuration.Compile(tree, root.Version)
	if s.fleet != nil {
		s.answerWatches()
	}
}

// answerWatches tells the hosts that watch the root of a new version, in a fixed order so
// that the same seed gives the same run.
func (s *treeStore) answerWatches() {
	for _, entry := range s.fleet.Options.Hosts {
		h := s.fleet.Hosts[model.HostID(entry.ID)]
		if s.watches[h] {
			s.answer(h, s.rootRead(h))
		}
	}
	clear(s.watches)
}

// editRandomly changes settings in several shards, sometimes inherited ones,
// and sometimes makes the tree invalid.
func (s *treeStore) editRandomly() {
	tree := s.tree.Clone()
	delete(tree.Branches["routes/rings"], "unknown")
	number := fmt.Sprint(s.root.Version + 1)
	tree.Set(account(s.rand.IntN(sampleAccounts)), "burst", number)
	tree.Set(account(s.rand.IntN(sampleAccounts)), "burst", number)
	switch s.rand.IntN(5) {
	case 0:
		tree.Set("accounts", "burst", number)
	case 1:
		tree.Set("services/lookup", "slots", number)
		tree.Set("routes/rings", "timeout", number+"s")
	case 2:
		tree.Set("routes/rings", "unknown", number)
	}
	s.edit(tree)
}

// intercept carries out the effects that concern the tree.
func (s *treeStore) intercept(h *fleettest.Host, f effect.Effect) bool {
	switch f := f.(type) {
	case effect.ReadRoot:
		s.rootReads++
		s.answer(h, s.rootRead(h))
	case effect.WatchRoot:
		s.watch(h, f.After)
	case effect.ReadShards:
		s.reads += len(f.Hashes)
		s.answer(h, func() event.Body { return s.shardsRead(h, f.Hashes) })
	case effect.DecodeShards:
		s.fleet.After(time.Millisecond, func() { h.Post(event.ShardsRead{Shards: s.decode(f.Shards)}) })
	case effect.SetReady:
		s.ready[h.Ref] = f.Ready
		return false
	case effect.Send:
		s.decodeSent(f.Message)
		return false
	case effect.Notice:
		s.checkNotice(h, f.Kind)
		return false
	default:
		return false
	}
	return true
}

// answer posts the store's answer after a short delay.
func (s *treeStore) answer(h *fleettest.Host, body func() event.Body) {
	delay := time.Duration(1+s.rand.IntN(20)) * time.Millisecond
	if s.fails(h) {
		delay = max(delay, s.callTimeout)
	}
	s.fleet.After(delay, func() { h.Post(body()) })
}

// fails reports whether the host gets no answer of the store.
func (s *treeStore) fails(h *fleettest.Host) bool {
	return s.fleet.Store.Down || s.fleet.Store.Unreachable[h.Ref.ID]
}

func (s *treeStore) rootRead(h *fleettest.Host) func() event.Body {
	return func() event.Body {
		if s.fails(h) {
			return event.RootRead{Error: event.StoreUnavailable}
		}
		return event.RootRead{Root: s.root, StoreVersion: s.root.Version, Restores: s.restores}
	}
}

func (s *treeStore) watch(h *fleettest.Host, after uint64) {
	if s.fails(h) || s.root.Version > after {
		s.answer(h, s.rootRead(h))
		return
	}
	s.watches[h] = true
}

func (s *treeStore) shardsRead(h *fleettest.Host, hashes []string) event.Body {
	if s.fails(h) {
		return event.ShardsRead{Error: event.StoreUnavailable}
	}
	var read event.ShardsRead
	for _, hash := range hashes {
		if shard, ok := s.shards[hash]; ok {
			read.Shards = append(read.Shards, shard)
		} else {
			read.Broken = append(read.Broken, hash)
		}
	}
	return read
}

func (s *treeStore) decode(shards []configuration.Shard) []configuration.Shard {
	var decoded []configuration.Shard
	for _, shard := range shards {
		decoded = append(decoded, s.shards[shard.Hash])
	}
	return decoded
}

// decodeSent decodes sent shards, as the receiving host's adapter does.
func (s *treeStore) decodeSent(m message.Message) {
	if m, ok := m.(message.Shards); ok {
		copy(m.Shards, s.decode(m.Shards))
	}
}

// checkNotice compares a version that a host activated with the whole tree.
func (s *treeStore) checkNotice(h *fleettest.Host, kind effect.NoticeKind) {
	if kind == effect.NoticeVersionRejected {
		s.rejected++
	}
	if kind != effect.NoticeVersion {
		return
	}
	snapshot := decision.SnapshotOf(h.State)
	before := s.activeVersion[h.Ref]
	s.c.Assert(snapshot.Version > before, qt.IsTrue, qt.Commentf("%v: version %d activated after %d", h.Ref, snapshot.Version, before))
	isSame := reflect.DeepEqual(snapshot, s.wantSnapshots[snapshot.Version])
	s.c.Assert(isSame, qt.IsTrue, qt.Commentf("%v: the active snapshot differs from version %d in the store", h.Ref, snapshot.Version))
	s.activeVersion[h.Ref] = snapshot.Version
	if next, ok := s.storedAt[before+1]; ok && before > 0 {
		s.staleness[h.Ref.ID] = max(s.staleness[h.Ref.ID], s.fleet.Now-next)
	}
}

// versions returns the active version of each running host, 0 for none.
func (s *treeStore) versions() []uint64 {
	var versions []uint64
	for _, entry := range s.fleet.Options.Hosts {
		if h := s.fleet.Hosts[model.HostID(entry.ID)]; h.Alive() {
			versions = append(versions, s.activeVersion[h.Ref])
		}
	}
	return versions
}

// converges reports whether every running host has activated the version in
// the store within the given time.
func (s *treeStore) converges(within time.Duration) bool {
	isNewest := func(v uint64) bool { return v == s.root.Version }
	for end := s.fleet.Now + within; s.fleet.Now < end; s.fleet.Run(50 * time.Millisecond) {
		if !slices.ContainsFunc(s.versions(), func(v uint64) bool { return !isNewest(v) }) {
			return true
		}
	}
	return false
}
