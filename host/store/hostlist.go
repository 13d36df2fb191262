package store

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// hostListPeriod is the time between two reads of the host list.
const hostListPeriod = time.Second

// HostList reads the platform's host list once a period and posts each answer.
// The reducer hears nothing while the list cannot be read.
type HostList struct {
	Store   Store
	Loop    Loop
	Timeout time.Duration
	Log     *log.Logger
	// Listed, when set, also gets each list, before the reducer does. The
	// peer links take the addresses from it.
	Listed func([]model.HostEntry)
}

// Run reads until ctx ends, which it returns.
func (h HostList) Run(ctx context.Context) error {
	ticker := time.NewTicker(hostListPeriod)
	defer ticker.Stop()
	for {
		h.read(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (h HostList) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	entries, err := h.Store.HostList(ctx)
	if errors.Is(err, ErrBroken) {
		h.Log.Error().Err(err).Msg("host list is broken")
	}
	if err != nil {
		return
	}
	if h.Listed != nil {
		h.Listed(entries)
	}
	h.Loop.Post(event.HostsListed{Entries: entries})
}
