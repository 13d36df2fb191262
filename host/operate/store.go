package operate

import (
	"context"
	"errors"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/store"
)

// Store is the part of the platform's key-value store that operators use. Its
// errors match store.ErrConflict or store.ErrUnavailable. After
// store.ErrUnavailable a write may have taken effect.
type Store interface {
	// Get returns a value and its version, or version 0 if the key does not
	// exist.
	Get(ctx context.Context, key string) (value []byte, version uint64, err error)
	// CompareAndSwap writes the value if the key still has the given version,
	// and returns the new version. Version 0 means that the key must not exist.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error)
	// HostList returns the platform's host list.
	HostList(ctx context.Context) ([]model.HostEntry, error)
}

func isConflict(err error) bool    { return errors.Is(err, store.ErrConflict) }
func isUnavailable(err error) bool { return errors.Is(err, store.ErrUnavailable) }
