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
	Records   store.Store
	Directory Directory
	Dialect   wire.Dialect
	Sources   []telemetry.Source // metrics of the environment's own clients
}

// Directory is service discovery: it watches the list of hosts and backend
// servers.
type Directory interface {
	// Run reads the list and posts it as events until ctx is done.
	Run(ctx context.Context, config DirectoryTask) error
	// Follow enables or disables the watch, which Run begins enabled. It must not
	// block.
	Follow(effect.FollowList)
}

// DirectoryTask holds the configuration and dependencies of a Directory.
type DirectoryTask struct {
	Self    model.HostEntry       // this host's entry
	Post    func(event.Body) bool // queues an event for the control loop
	Timeout time.Duration         // of calls other than long polls
	Log     *log.Logger
}

// Own returns the environment for pollensail's own store and header protocols,
// used without a platform.
func Own(s settings.Settings) Environment {
	client := store.NewHTTP(string(s.Store.Address))
	return Environment{Records: client, Directory: pollingDirectory{client}, Dialect: wire.Own()}
}

// pollingDirectory reads the list by polling.
type pollingDirectory struct{ lister store.Lister }

// Follow implements Directory. It does nothing: the list has no revisions, so
// polling never stops.
func (p pollingDirectory) Follow(effect.FollowList) {}

// Run implements Directory.
func (p pollingDirectory) Run(ctx context.Context, config DirectoryTask) error {
	poller := store.HostList{Store: p.lister, Post: config.Post, Timeout: config.Timeout, Log: config.Log}
	return poller.Run(ctx)
}
