package main

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"

	"pollensail.dev/host/operate"
	"pollensail.dev/host/store"
)

// openStore returns the adapter of the platform's store at an address.
func openStore(address string) operate.Store { return platform{store.NewHTTP(address)} }

// platform gives the errors of host/store the names that operate has for them.
type platform struct{ *store.HTTP }

// Get implements operate.Store.
func (p platform) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	value, version, err := p.HTTP.Get(ctx, key)
	return value, version, translate(err)
}

// CompareAndSwap implements operate.Store.
func (p platform) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	newVersion, err := p.HTTP.CompareAndSwap(ctx, key, version, value)
	return newVersion, translate(err)
}

func translate(err error) error {
	switch {
	case errors.Is(err, store.ErrConflict):
		return operate.ErrConflict
	case errors.Is(err, store.ErrUnavailable):
		return merry.Wrap(operate.ErrUnavailable, merry.WithCause(err), merry.NoCaptureStack())
	default:
		return err
	}
}
