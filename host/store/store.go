package store

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// MaxValue is the maximum size in bytes of a value in the store.
const MaxValue = 1 << 20

var (
	// ErrConflict means that the current version is not the expected one. Nothing
	// was written.
	ErrConflict = merry.Sentinel("store: version conflict")
	// ErrUnavailable means that no usable response arrived. A write may have
	// taken effect.
	ErrUnavailable = merry.Sentinel("store: unavailable, a write may have taken effect")
	// ErrTooLarge means that a value exceeds MaxValue. Nothing was written.
	ErrTooLarge = merry.Sentinel("store: value exceeds 1 MiB")
	// ErrBroken means that a record was read but is invalid, or that a shard is
	// missing.
	ErrBroken = merry.Sentinel("store: broken record")
	// ErrReplaced means that the store no longer has a shard, because a newer version
	// of the configuration has replaced it.
	ErrReplaced = merry.Sentinel("store: a newer version has replaced the shard")
)

// Store is a key-value store with versioned values and compare-and-swap, which
// holds the records of the fleet. Errors match ErrConflict, ErrUnavailable or
// ErrTooLarge with errors.Is, and ErrBroken where the implementation decodes what
// it reads.
type Store interface {
	// Get returns a value and its version. Version 0 means that the key does not
	// exist.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// CompareAndSwap writes the value if the current version is the given one,
	// with 0 for a key that does not exist. It returns the new version.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// Watch waits until the version is greater than after, or the platform ends
	// the wait, and returns the current value.
	Watch(ctx context.Context, key string, after uint64) (value []byte, version uint64, err error)
}

// RestoreCounter is implemented by a Store that may come back from an older copy, and so
// lose what it has acknowledged.
type RestoreCounter interface {
	// Restores returns how often the store has come back, as far as its answers have shown.
	// It never goes back.
	Restores() uint64
}

// RootReader is implemented by a Store that keeps the evacuated failure domains apart
// from the root record, and reads both in one call. An error may come together with a
// set, as that of an invalid record does.
type RootReader interface {
	// ReadRoot reads the root record and the set.
	ReadRoot(ctx context.Context) (RootReply, error)
	// WatchRoot waits until the root's store version is greater than after or the set
	// changes, or the platform ends the wait, and returns both.
	WatchRoot(ctx context.Context, after uint64) (RootReply, error)
}

// RootReply is the root record, with Version 0 if there is none, and the set of
// evacuated failure domains, whose Revision is 0 if it was not read.
type RootReply struct {
	Root       configuration.Root
	Version    uint64 // of the record in the store
	Evacuation model.Evacuation
}

// Lister reads the platform's host list, which holds entry hosts and backend
// servers.
type Lister interface {
	HostList(ctx context.Context) ([]model.HostEntry, error)
}

// errorKind maps an error of a Store to an event.StoreError. An invalid record
// counts as unavailable, because no decision can be based on it.
func errorKind(err error) event.StoreError {
	switch {
	case err == nil:
		return event.StoreOK
	case errors.Is(err, ErrConflict):
		return event.StoreConflict
	default:
		return event.StoreUnavailable
	}
}

// Unavailable returns an ErrUnavailable with the cause err.
func Unavailable(err error) error {
	return merry.Wrap(ErrUnavailable, merry.WithCause(err), merry.NoCaptureStack())
}

// Broken returns an ErrBroken with the cause err.
func Broken(err error) error {
	return merry.Wrap(ErrBroken, merry.WithCause(err), merry.NoCaptureStack())
}
