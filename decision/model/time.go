package model

import "time"

// Instant is a time on the monotonic clock of one process, in nanoseconds
// since an arbitrary origin. Instants of different hosts are never compared.
// Some fields hold a duration in nanoseconds as an Instant; their comments say
// so.
type Instant int64

// Never is later than any actual Instant.
const Never Instant = 1<<63 - 1

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// WallTime is a wall-clock time in milliseconds since the Unix epoch. A host
// compares its own wall clock only with the creation times of idempotency keys.
type WallTime int64

// Add returns the wall time d after w, rounded down to a millisecond.
func (w WallTime) Add(d time.Duration) WallTime { return w + WallTime(d.Milliseconds()) }
