package backend

import "sync/atomic"

// counters counts events at connections to servers since the start.
type counters struct {
	opened  atomic.Uint64
	skipped atomic.Uint64
}

// ConnsOpened returns how many connections to servers have been opened.
func (t *Transport) ConnsOpened() uint64 { return t.counters.opened.Load() }

// ResponsesSkipped returns how many responses belonged to an earlier request on their
// connection, and were dropped.
func (t *Transport) ResponsesSkipped() uint64 { return t.counters.skipped.Load() }
