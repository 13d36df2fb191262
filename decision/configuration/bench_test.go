package configuration

import (
	"runtime"
	"testing"
)

// The numbers of objects in a tree of the target size.
const (
	targetAccounts = 48_000
	targetRoutes   = 3_900
	targetServices = 140
)

func BenchmarkCompile(b *testing.B) {
	tree := largeTree(targetAccounts, targetRoutes, targetServices)
	for b.Loop() {
		if _, problems := Compile(tree, 1); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

// BenchmarkSnapshotMemory reports the heap size of a snapshot.
func BenchmarkSnapshotMemory(b *testing.B) {
	tree := largeTree(targetAccounts, targetRoutes, targetServices)
	for b.Loop() {
		before := heapInUse()
		snapshot, _ := Compile(tree, 1)
		b.ReportMetric(float64(heapInUse()-before), "kept-bytes")
		runtime.KeepAlive(snapshot)
		runtime.KeepAlive(tree)
	}
}

func BenchmarkSplit(b *testing.B) {
	tree := largeTree(targetAccounts, targetRoutes, targetServices)
	for b.Loop() {
		b.ReportMetric(float64(len(Split(tree))), "shards")
	}
}

func BenchmarkMatch(b *testing.B) {
	snapshot, _ := Compile(largeTree(100, targetRoutes, targetServices), 1)
	for b.Loop() {
		snapshot.Match("", "/area07/route0007/some/thing")
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkRebuild measures the incremental compilation of an edit of one account
// in a tree of the target size.
func BenchmarkRebuild(b *testing.B) {
	before := largeTree(targetAccounts, targetRoutes, targetServices)
	old, _ := Compile(before, 1)
	after := before.Clone()
	after.Set("accounts/group07/customer00007", "keys", key(targetAccounts))
	parts := Split(after)
	oldRoot, newRoot := rootOf(1, Split(before)), rootOf(2, parts)
	for b.Loop() {
		compiler := NewIncrementalCompiler(old, oldRoot, newRoot)
		for _, ref := range ChangedShards(oldRoot, newRoot) {
			compiler.Add(ref.Name, parts[ref.Name])
		}
		if _, problems := compiler.Finish(); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}
