package store

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// MaxValue is the size in bytes of the largest value that the platform stores.
const MaxValue = 1 << 20

// The errors of a Store.
var (
	// ErrConflict says that the version was not the expected one; nothing was
	// written.
	ErrConflict = merry.Sentinel("store: version conflict")
	// ErrUnavailable says that no answer arrived; a write may have taken
	// effect.
	ErrUnavailable = merry.Sentinel("store: unavailable, a write may have taken effect")
	// ErrTooLarge says that a value exceeds MaxValue; nothing was written.
	ErrTooLarge = merry.Sentinel("store: value exceeds 1 MiB")
	// ErrBroken says that a record was read but is not in the expected form.
	ErrBroken = merry.Sentinel("store: broken record")
)

// Store holds the records of the fleet. Errors match ErrConflict,
// ErrUnavailable or ErrTooLarge by errors.Is.
type Store interface {
	// Get returns a value and its version; version 0 means that there is none.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// CompareAndSwap writes the value if the version is still the given one,
	// 0 if there is none, and returns the new version.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// Watch returns the value once its version is greater than after, or the
	// current one when the platform ends the wait.
	Watch(ctx context.Context, key string, after uint64) (value []byte, version uint64, err error)
}

// Lister has the platform's list of hosts and backend servers.
type Lister interface {
	HostList(ctx context.Context) ([]model.HostEntry, error)
}

// errorKind maps an error of a Store to the reducer's kind. A broken record
// counts as unavailable, because nothing can be based on it.
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

// Unavailable returns ErrUnavailable with its cause.
func Unavailable(err error) error {
	return merry.Wrap(ErrUnavailable, merry.WithCause(err), merry.NoCaptureStack())
}

// Broken returns ErrBroken with its cause.
func Broken(err error) error {
	return merry.Wrap(ErrBroken, merry.WithCause(err), merry.NoCaptureStack())
}
