package configuration

import (
	"runtime"
	"testing"
)

// The target size.
const (
	targetAccounts = 48_000
	targetRoutes   = 3_900
)

func BenchmarkCompile(b *testing.B) {
	tree := largeTree(targetAccounts, targetRoutes)
	for b.Loop() {
		if _, problems := Compile(tree, 1); len(problems) > 0 {
			b.Fatal(problems[0])
		}
	}
}

// BenchmarkSnapshotMemory reports the bytes that a snapshot keeps alive.
func BenchmarkSnapshotMemory(b *testing.B) {
	tree := largeTree(targetAccounts, targetRoutes)
	for b.Loop() {
		before := heapInUse()
		snapshot, _ := Compile(tree, 1)
		b.ReportMetric(float64(heapInUse()-before), "kept-bytes")
		runtime.KeepAlive(snapshot)
		runtime.KeepAlive(tree)
	}
}

func BenchmarkSplit(b *testing.B) {
	tree := largeTree(targetAccounts, targetRoutes)
	for b.Loop() {
		b.ReportMetric(float64(len(Split(tree))), "shards")
	}
}

func BenchmarkMatch(b *testing.B) {
	snapshot, _ := Compile(largeTree(100, targetRoutes), 1)
	for b.Loop() {
		snapshot.Match("/area07/route0007/some/thing")
	}
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
