package operate

import (
	"context"
	"errors"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/store"
)

// Store is what operators need of the platform's key-value service. Errors
// match store.ErrConflict or store.ErrUnavailable, after which a write may
// have taken effect.
type Store interface {
	// Get returns a value and its version; version 0 means that there is none.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// CompareAndSwap writes the value if the version is still the given one,
	// 0 if there is none, and returns the new version.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// HostList returns the platform's list of hosts.
	HostList(ctx context.Context) ([]model.HostEntry, error)
}

func isConflict(err error) bool    { return errors.Is(err, store.ErrConflict) }
func isUnavailable(err error) bool { return errors.Is(err, store.ErrUnavailable) }
