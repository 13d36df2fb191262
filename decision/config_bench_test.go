package decision_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"pollensail.dev/decision"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// targetTree returns a tree with the accounts, routes and services of the
// target size.
func targetTree() configuration.Tree {
	tree := sampleTree()
	for i := range 48_000 {
		p := account(i)
		tree.Set(p, "keys", configuration.FormatKey(sha256.Sum256([]byte(p))))
	}
	for i := range 3_900 {
		p := configuration.Path(fmt.Sprintf("routes/area%02d/r%04d", i%40, i))
		tree.Set(p, "path", fmt.Sprintf("/area%02d/route%04d", i%40, i))
		tree.Set(p, "service", fmt.Sprintf("s%03d", i%140))
	}
	for i := range 7_700 {
		p := configuration.Path(fmt.Sprintf("services/s%03d", i%140))
		servers := append(configuration.Lines(tree.Branches[p]["servers"]), fmt.Sprintf("10.%d.%d.1:8080", i%140, i/140))
		tree.Set(p, "servers", configuration.JoinLines(servers))
	}
	return tree
}

// follower is one host's reducer with a store that answers at once.
type follower struct {
	state   *decision.State
	now     model.Instant
	root    configuration.Root
	encoded map[string][]byte
	longest time.Duration // of one event
}

func newFollower() *follower {
	f := &follower{state: decision.NewState(), encoded: make(map[string][]byte)}
	f.reduce(event.Started{Self: model.HostRef{ID: "h", Incarnation: 1}, Domain: "d0"})
	return f
}

func (f *follower) store(tree configuration.Tree) {
	f.root = configuration.Root{Version: f.root.Version + 1}
	parts := configuration.Split(tree)
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		encoded, _ := json.Marshal(parts[name])
		sum := sha256.Sum256(encoded)
		hash := hex.EncodeToString(sum[:])
		f.encoded[hash] = encoded
		f.root.Shards = append(f.root.Shards, configuration.ShardRef{Name: name, Hash: hash})
	}
}

func (f *follower) reduce(body event.Body) {
	f.now = f.now.Add(time.Millisecond)
	from := time.Now()
	effects := slices.Clone(decision.Reduce(f.state, event.Event{At: f.now, Body: body}))
	f.longest = max(f.longest, time.Since(from))
	for _, e := range effects {
		switch e := e.(type) {
		case effect.ReadShards:
			f.reduce(event.ShardsRead{Shards: f.decode(e.Hashes)})
		case effect.DecodeShards:
			var hashes []string
			for _, shard := range e.Shards {
				hashes = append(hashes, shard.Hash)
			}
			f.reduce(event.ShardsRead{Shards: f.decode(hashes)})
		}
	}
}

func (f *follower) decode(hashes []string) []configuration.Shard {
	var shards []configuration.Shard
	for _, hash := range hashes {
		shard := configuration.Shard{Hash: hash, Encoded: slices.Clone(f.encoded[hash])}
		json.Unmarshal(shard.Encoded, &shard.Branches)
		shards = append(shards, shard)
	}
	return shards
}

// follow makes the tree in the store active.
func (f *follower) follow(b *testing.B) {
	f.longest = 0
	f.reduce(event.RootRead{Root: f.root, StoreVersion: f.root.Version})
	if s := decision.SnapshotOf(f.state); s == nil || s.Version != f.root.Version {
		b.Fatal("the version in the store is not active")
	}
}

// BenchmarkStartAtTarget activates a tree of the target size at a host that
// has none. It reports the longest event and the bytes that stay in use.
func BenchmarkStartAtTarget(b *testing.B) {
	tree := targetTree()
	for b.Loop() {
		f := newFollower()
		f.store(tree)
		before := heapInUse()
		f.follow(b)
		b.ReportMetric(float64(f.longest.Microseconds()), "longest-event-µs")
		b.ReportMetric(float64(heapInUse()-before), "kept-bytes")
		runtime.KeepAlive(f)
	}
}

// BenchmarkEditAtTarget applies an edit of one account at the target size.
func BenchmarkEditAtTarget(b *testing.B) {
	tree := targetTree()
	f := newFollower()
	f.store(tree)
	f.follow(b)
	for b.Loop() {
		b.StopTimer()
		tree.Set(account(7), "burst", fmt.Sprint(f.root.Version))
		f.store(tree)
		b.StartTimer()
		f.follow(b)
	}
	b.ReportMetric(float64(f.longest.Microseconds()), "longest-event-µs")
	b.ReportMetric(float64(len(f.root.Shards)), "shards")
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
