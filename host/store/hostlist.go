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
	// minHostListPeriod is the shortest time between two reads of the host list.
	minHostListPeriod = time.Second
	// maxFleetListReadsPerSecond bounds the reads of all hosts together, because
	// the request rate that the platform allows grows more slowly than the fleet.
	// Less frequent reads hardly delay the news that a server is leaving: once one
	// host has read it, heartbeats spread it.
	maxFleetListReadsPerSecond = 50
)

// listPeriod returns the time from one read of the host list to the next.
func listPeriod(entries []model.HostEntry) time.Duration {
	hosts := 0
	for _, e := range entries {
		if e.Role == model.RoleEntry {
			hosts++
		}
	}
	return max(minHostListPeriod, time.Duration(hosts)*time.Second/maxFleetListReadsPerSecond)
}

// HostListPoller polls the platform's host list and posts each list that it
// reads. It posts nothing while the list cannot be read, but logs when that
// begins and ends.
type HostListPoller struct {
	Store   Lister
	Post    func(event.Body) bool
	Timeout time.Duration
	Log     *log.Logger
}

// Run polls until ctx ends and returns the error of ctx.
func (h HostListPoller) Run(ctx context.Context) error {
	timer := time.NewTimer(minHostListPeriod)
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

// read reads and posts the list once and returns the time until the next read.
func (h HostListPoller) read(ctx context.Context) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Timeout)
	defer cancel()
	entries, err := h.Store.HostList(ctx)
	if err != nil {
		return minHostListPeriod, err
	}
	h.Post(event.HostListRead{Entries: entries})
	return listPeriod(entries), nil
}

// logChange logs the first of several consecutive failures and the recovery. A
// host without a configuration logs nothing else about a store that it cannot
// reach.
func (h HostListPoller) logChange(last, err error) {
	switch {
	case errors.Is(err, ErrBroken) && !errors.Is(last, ErrBroken):
		h.Log.Error().Err(err).Msg("host list is broken")
	case err != nil && last == nil:
		h.Log.Warn().Err(err).AnErr("cause", merry.Cause(err)).Msg("host list cannot be read")
	case err == nil && last != nil:
		h.Log.Info().Msg("host list is read again")
	}
}
