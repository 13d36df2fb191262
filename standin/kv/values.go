package kv

import (
	"context"
	"sync"
)

// entry is a value with its version, which increases by one with each write.
type entry struct {
	value   []byte
	version uint64
}

// valueStore holds the entries of all keys. Use newValueStore to create one.
type valueStore struct {
	mu      sync.Mutex
	entries map[string]entry
	changed chan struct{} // closed and replaced on each write
}

func newValueStore() *valueStore {
	return &valueStore{entries: make(map[string]entry), changed: make(chan struct{})}
}

func (v *valueStore) get(key string) entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.entries[key]
}

// compareAndSwap writes the value if the key still has the given version. It returns
// the entry afterwards and whether it wrote the value.
func (v *valueStore) compareAndSwap(key string, version uint64, value []byte) (entry, bool) {
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

// wait returns the entry once its version is greater than after, or the current one
// when ctx is done.
func (v *valueStore) wait(ctx context.Context, key string, after uint64) entry {
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
