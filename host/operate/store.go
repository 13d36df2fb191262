package operate

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"pollensail.dev/decision/model"
)

// The errors of a Store, to be matched by errors.Is.
var (
	// ErrConflict: the version was not the expected one; nothing was written.
	ErrConflict = merry.Sentinel("version conflict")
	// ErrUnavailable: there was no answer; a write may have taken effect.
	ErrUnavailable = merry.Sentinel("the store does not answer")
)

// Store is what operators need of the platform's key-value service.
type Store interface {
	// Get returns a value and its version; version 0 means that there is none.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// CompareAndSwap writes the value if the version is still the given one,
	// 0 if there is none, and returns the new version.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// HostList returns the platform's list of hosts.
	HostList(ctx context.Context) ([]model.HostEntry, error)
}

func isConflict(err error) bool    { return errors.Is(err, ErrConflict) }
func isUnavailable(err error) bool { return errors.Is(err, ErrUnavailable) }
