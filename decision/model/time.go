package model

import "time"

// Instant is a time on the monotonic clock of one process, in nanoseconds
// since an arbitrary start. Instants of different hosts are never compared.
type Instant int64

// Never is later than every Instant that occurs.
const Never Instant = 1<<63 - 1

// Add returns the instant d after t.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// WallTime is milliseconds since the Unix epoch on a host's wall clock. Only
// the creation times of idempotency keys are compared with it.
type WallTime int64

// Add returns the wall time d after w, rounded down to a millisecond.
func (w WallTime) Add(d time.Duration) WallTime { return w + WallTime(d.Milliseconds()) }
