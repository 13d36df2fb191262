package main

import (
	"context"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/operate"
)

// openStore returns the adapter of the platform's store at an address.
func openStore(address string) operate.Store { return unconnected{} }

// unconnected stands in until the HTTP adapter of host/store is merged.
type unconnected struct{}

func (unconnected) Get(context.Context, string) ([]byte, uint64, error) {
	return nil, 0, operate.ErrUnavailable
}

func (unconnected) CompareAndSwap(context.Context, string, uint64, []byte) (uint64, error) {
	return 0, operate.ErrUnavailable
}

func (unconnected) HostList(context.Context) ([]model.HostEntry, error) {
	return nil, operate.ErrUnavailable
}
