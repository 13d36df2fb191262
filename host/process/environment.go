package process

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/settings"
	"pollensail.dev/host/store"
	"pollensail.dev/host/telemetry"
	"pollensail.dev/host/wire"
)

// Environment holds the external services and the protocol of a host: the
// store, service discovery, and the header fields and statuses that callers and
// backend servers exchange with the fleet.
type Environment struct {
	Store         store.Store
	Directory     Directory
	Dialect       wire.Dialect
	MetricSources []telemetry.MetricSource // metrics of the environment's own clients
	// ShutdownGrace is how long after the signal for a planned stop the process is
	// killed; 0: never.
	ShutdownGrace time.Duration
}

// Directory is service discovery: it watches the list of hosts and backend
// servers.
type Directory interface {
	// Run reads the list and posts it as events until ctx is done.
	Run(ctx context.Context, config DirectoryConfig) error
	// WatchHostList enables or disables the watch, which Run begins enabled. It
	// must not block.
	WatchHostList(effect.WatchHostList)
}

// DirectoryConfig holds the configuration and dependencies of a Directory.
type DirectoryConfig struct {
	Self    model.HostEntry       // this host's entry
	Post    func(event.Body) bool // queues an event for the control loop
	Timeout time.Duration         // of calls other than long polls
	Log     *log.Logger
}

// DefaultEnvironment returns the environment for pollensail's own store and
// header protocols, used without a platform.
func DefaultEnvironment(s settings.Settings) Environment {
	client := store.NewHTTP(string(s.Store.Address))
	return Environment{
		Store:         client,
		Directory:     pollingDirectory{client},
		Dialect:       wire.DefaultDialect(),
		ShutdownGrace: time.Duration(s.Stop.Grace),
	}
}

// pollingDirectory reads the list by polling.
type pollingDirectory struct{ lister store.Lister }

// WatchHostList implements Directory. It does nothing: the list has no
// revisions, so polling never stops.
func (p pollingDirectory) WatchHostList(effect.WatchHostList) {}

// Run implements Directory.
func (p pollingDirectory) Run(ctx context.Context, config DirectoryConfig) error {
	poller := store.HostListPoller{Store: p.lister, Post: config.Post, Timeout: config.Timeout, Log: config.Log}
	return poller.Run(ctx)
}
