package health

import (
	"time"

	"pollensail.dev/decision/model"
)

const (
	// bucketTime and buckets make up the time over which a coordinator judges
	// a server.
	bucketTime = 250 * time.Millisecond
	buckets    = 8
)

// fault is a way in which attempts go wrong. Each is compared with the rest of
// the pool for itself: services with a wide spread of latencies have slow
// answers from every server, which would hide one server's failures. Slow
// answers and timeouts are one fault, because shared overload turns the one
// into the other at some servers before it does at the rest.
type fault uint8

const (
	failing fault = iota
	late
	faults
)

// tally counts attempts.
type tally struct {
	OK  int
	Bad [faults]int
}

func (t *tally) add(u tally) {
	t.OK += u.OK
	for i, n := range u.Bad {
		t.Bad[i] += n
	}
}

func (t tally) total() int {
	n := t.OK
	for _, bad := range t.Bad {
		n += bad
	}
	return n
}

func (t tally) isClean() bool { return t.Bad == [faults]int{} }

func sum(ts []tally) tally {
	var total tally
	for _, t := range ts {
		total.add(t)
	}
	return total
}

// window counts attempts over the last buckets × bucketTime. The zero value is
// empty.
type window struct {
	counts [buckets]tally
	head   int64 // number of the newest bucket
}

func bucketOf(now model.Instant) int64 { return int64(now) / int64(bucketTime) }

func (w *window) add(now model.Instant, t tally) {
	w.advance(bucketOf(now))
	w.counts[w.head%buckets].add(t)
}

// advance empties the buckets between the newest and bucket n.
func (w *window) advance(n int64) {
	if n-w.head >= buckets {
		w.counts = [buckets]tally{}
		w.head = n
		return
	}
	for w.head < n {
		w.head++
		w.counts[w.head%buckets] = tally{}
	}
}

// last returns the counts of the newest n buckets up to now.
func (w *window) last(now model.Instant, n int) tally {
	w.advance(bucketOf(now))
	var sum tally
	for i := range int64(n) {
		sum.add(w.counts[(w.head-i+buckets)%buckets])
	}
	return sum
}

// span returns the time that the newest n buckets cover.
func span(now model.Instant, n int) time.Duration {
	inNewest := int64(now) % int64(bucketTime)
	return time.Duration(inNewest) + time.Duration(n-1)*bucketTime
}
