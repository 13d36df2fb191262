package store

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/phuslu/log"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

const (
	// hostListPeriod is the shortest time between two reads of the host list.
	hostListPeriod = time.Second
	// fleetListReads bounds the reads a second of all hosts together, because
	// the platform's rates grow more slowly than the fleet. Leaving servers
	// spread through heartbeats after the first read.
	fleetListReads = 50
)

// listPeriod returns the time from one read of the list to the next.
func listPeriod(entries []model.HostEntry) time.Duration {
	hosts := 0
	for _, e := range entries {
		if e.Role == model.RoleEntry {
			hosts++
		}
	}
	return max(hostListPeriod, time.Duration(hosts)*time.Second/fleetListReads)
}

// HostList reads the platform's host list once a period and posts each answer.
// The reducer hears nothing while the list cannot be read; the log says when
// that begins and ends.
type HostList struct {
	Store   Lister
	Post    func(event.Body) bool
	Timeout time.Duration
	Log     *log.Logger
}

// Run reads until ctx ends, which it returns.
func (h HostList) Run(ctx context.Context) error {
	timer := time.NewTimer(hostListPeriod)
	defer timer.Stop()
	var last error
	for {
		period, err := h.read(ctx)
		timer.Reset(period)
		if ctx.Err() == nil {
			h.logChange(last, err)
			last = err
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// read posts the list and returns when to read it again.
func (h HostList) read(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	entries, err := h.Store.HostList(ctx)
	if err != nil {
		return hostListPeriod, err
	}
	h.Post(event.HostsListed{Entries: entries})
	return listPeriod(entries), nil
}

// logChange logs the first failure in a row and its end. A host without a
// configuration has no other line for a store that it cannot reach.
func (h HostList) logChange(last, err error) {
	switch {
	case errors.Is(err, ErrBroken) && !errors.Is(last, ErrBroken):
		h.Log.Error().Err(err).Msg("host list is broken")
	case err != nil && last == nil:
		h.Log.Warn().Err(err).AnErr("cause", merry.Cause(err)).Msg("host list cannot be read")
	case err == nil && last != nil:
		h.Log.Info().Msg("host list is read again")
	}
}
