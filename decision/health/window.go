package health

import (
	"time"

	"pollensail.dev/decision/model"
)

const (
	// bucketDuration and bucketCount make up the sliding window over which a
	// coordinator judges a server.
	bucketDuration = 250 * time.Millisecond
	bucketCount    = 8
)

// faultKind is a way in which attempts go wrong. Each kind is compared with the
// rest of the pool separately: services with a wide spread of latencies have
// slow answers from every server, which would hide one server's failures. Slow
// answers and timeouts are one kind, because shared overload turns slow answers
// into timeouts at some servers earlier than at the rest.
type faultKind uint8

const (
	faultFailed faultKind = iota // error answer, broken connection or invalid answer
	faultLate                    // slow answer or timeout
	faultKinds                   // number of kinds
)

// tally counts attempts by outcome.
type tally struct {
	OK  int
	Bad [faultKinds]int
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

func (t tally) isClean() bool { return t.Bad == [faultKinds]int{} }

func sumTallies(ts []tally) tally {
	var total tally
	for _, t := range ts {
		total.add(t)
	}
	return total
}

// window is a sliding window of attempt counts over bucketCount ×
// bucketDuration, as a ring of buckets. The zero value is empty.
type window struct {
	counts [bucketCount]tally
	newest int64 // number of the newest bucket, counted from instant 0
}

func bucketNumber(now model.Instant) int64 { return int64(now) / int64(bucketDuration) }

func (w *window) add(now model.Instant, t tally) {
	w.advance(bucketNumber(now))
	w.counts[w.newest%bucketCount].add(t)
}

// advance moves the window on to bucket n and clears the buckets in between.
func (w *window) advance(n int64) {
	if n-w.newest >= bucketCount {
		w.counts = [bucketCount]tally{}
		w.newest = n
		return
	}
	for w.newest < n {
		w.newest++
		w.counts[w.newest%bucketCount] = tally{}
	}
}

// sumNewest returns the sum of the newest n buckets up to now.
func (w *window) sumNewest(now model.Instant, n int) tally {
	w.advance(bucketNumber(now))
	var sum tally
	for i := range int64(n) {
		sum.add(w.counts[(w.newest-i+bucketCount)%bucketCount])
	}
	return sum
}

// coveredTime returns the time that the newest n buckets cover.
func coveredTime(now model.Instant, n int) time.Duration {
	inNewest := int64(now) % int64(bucketDuration)
	return time.Duration(inNewest) + time.Duration(n-1)*bucketDuration
}
