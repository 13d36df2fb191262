package kv

import (
	"context"
	"sync"
)

// entry is a value and its version, which grows by one with each write.
type entry struct {
	value   []byte
	version uint64
}

// values holds the keys. Its zero value is not usable; make it with newValues.
type values struct {
	mu      sync.Mutex
	entries map[string]entry
	changed chan struct{} // closed and replaced at each write
}

func newValues() *values {
	return &values{entries: make(map[string]entry), changed: make(chan struct{})}
}

func (v *values) get(key string) entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entries[key]
}

// swap writes the value if the version is still the given one and reports
// whether it did.
func (v *values) swap(key string, version uint64, value []byte) (entry, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := v.entries[key]
	if current.version != version {
		return current, false
	}
	next := entry{value: value, version: version + 1}
	v.entries[key] = next
	close(v.changed)
	v.changed = make(chan struct{})
	return next, true
}

// wait returns the entry once its version is greater than after, or as it is
// when ctx ends.
func (v *values) wait(ctx context.Context, key string, after uint64) entry {
	for {
		v.mu.Lock()
		current, changed := v.entries[key], v.changed
		v.mu.Unlock()
		if current.version > after {
			return current
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v.get(key)
		}
	}
}
