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

// Environment is what surrounds a host: the store with its records, the list of
// hosts and backend servers, and how callers and servers spell what concerns
// the fleet.
type Environment struct {
	Records   store.Store
	Directory Directory
	Dialect   wire.Dialect
	Sources   []telemetry.Source // counts of its calls
}

// Directory follows the list of hosts and backend servers.
type Directory interface {
	// Run posts the list as it changes, until ctx ends.
	Run(ctx context.Context, d DirectoryTask) error
	// Follow starts or stops that. Run starts with it on. It does not block.
	Follow(effect.FollowList)
}

// DirectoryTask is what a Directory works with.
type DirectoryTask struct {
	Self    model.HostEntry // this host's entry
	Post    func(event.Body) bool
	Timeout time.Duration // of a call that does not wait
	Log     *log.Logger
}

// Own returns the environment of the product's own protocols.
func Own(s settings.Settings) Environment {
	client := store.NewHTTP(string(s.Store.Address))
	return Environment{Records: client, Directory: polled{client}, Dialect: wire.Own()}
}

// polled reads the list again and again.
type polled struct{ lister store.Lister }

// Follow implements Directory. A list without revisions is always read.
func (p polled) Follow(effect.FollowList) {}

// Run implements Directory.
func (p polled) Run(ctx context.Context, d DirectoryTask) error {
	list := store.HostList{Store: p.lister, Post: d.Post, Timeout: d.Timeout, Log: d.Log}
	return list.Run(ctx)
}
