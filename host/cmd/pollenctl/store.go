package main

import (
	"pollensail.dev/host/operate"
	"pollensail.dev/host/store"
)

// openStore returns an HTTP client of the platform's store at an address.
func openStore(address string) operate.Store { return store.NewHTTP(address) }
