// Package control runs the reducer: one goroutine owns the decision state,
// takes up events one at a time and hands the effects to adapters. Adapters
// must not block; they do their work in goroutines of their own and post
// events.
package control

import (
	"context"
	"time"

	"pollensail.dev/decision"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// eventBacklog is how many events may wait for the control goroutine before
// Post blocks.
const eventBacklog = 4096

// Traffic carries out what concerns callers' requests: Forward, Deliver,
// Refuse, Replay and CloseTraffic.
type Traffic interface{ Apply(effect.Effect) }

// Peers sends messages to other hosts. A message that cannot be sent at once
// is dropped. SetHosts tells the addresses of the hosts.
type Peers interface {
	Send(effect.Send)
	SetHosts([]model.HostEntry)
}

// List follows the platform's list of hosts and servers in the store.
type List interface{ Follow(effect.FollowList) }

// Store carries out ReadSlot, SwapSlot, ReadRoot, WatchRoot, ReadShards and
// DecodeShards and posts the answers.
type Store interface{ Call(effect.Effect) }

// Observer takes what operators see: Record, Notice, SetReady and
// ReportStatus.
type Observer interface{ Observe(effect.Effect) }

// Adapters are the outside of the control loop.
type Adapters struct {
	Traffic  Traffic
	Peers    Peers
	Store    Store
	List     List
	Observer Observer
}

// Loop is the control goroutine of a process. Make it with New.
type Loop struct {
	state    *decision.State
	adapters Adapters
	events   chan event.Body
	done     chan struct{}
	start    model.Instant // on the clock of sinceBoot
	timer    *time.Timer
}

// New returns a loop that has not started. Set the adapters with Connect
// before Run.
func New() *Loop {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &Loop{
		state:  decision.NewState(),
		events: make(chan event.Body, eventBacklog),
		done:   make(chan struct{}),
		start:  sinceBoot(),
		timer:  timer,
	}
}

// Connect sets the adapters.
func (l *Loop) Connect(a Adapters) { l.adapters = a }

// Post hands an event to the control goroutine. It returns false when the loop
// has ended. It is safe for concurrent use.
func (l *Loop) Post(body event.Body) bool {
	select {
	case l.events <- body:
		return true
	case <-l.done:
		return false
	}
}

// Now returns the process's time as the reducer sees it.
func (l *Loop) Now() model.Instant { return sinceBoot() - l.start }

// Time returns the wall-clock time of an instant of this process, with a
// monotonic reading.
func (l *Loop) Time(at model.Instant) time.Time { return time.Now().Add(at.Sub(l.Now())) }

// Run runs the reducer until it emits effect.Exit, which returns nil, or until
// ctx ends.
func (l *Loop) Run(ctx context.Context, started event.Started) error {
	defer close(l.done)
	if l.step(started) {
		return nil
	}
	for {
		body, err := l.next(ctx)
		if err != nil {
			return err
		}
		if l.step(body) {
			return nil
		}
	}
}

// next blocks until there is an event.
func (l *Loop) next(ctx context.Context) (event.Body, error) {
	select {
	case body := <-l.events:
		return body, nil
	case <-l.timer.C:
		return event.TimerFired{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// step applies one event and reports whether the process is to end.
func (l *Loop) step(body event.Body) bool {
	e := event.Event{
		At:   l.Now(),
		Wall: model.WallTime(time.Now().UnixMilli()),
		Body: body,
	}
	exit := false
	for _, f := range decision.Reduce(l.state, e) {
		exit = l.apply(f) || exit
	}
	return exit
}

// apply hands an effect to its adapter and reports whether it is Exit.
func (l *Loop) apply(f effect.Effect) bool {
	switch f := f.(type) {
	case effect.Forward, effect.Deliver, effect.Refuse, effect.Replay, effect.CloseTraffic:
		l.adapters.Traffic.Apply(f)
	case effect.Send:
		l.adapters.Peers.Send(f)
	case effect.SetHosts:
		l.adapters.Peers.SetHosts(f.Entries)
	case effect.FollowList:
		l.adapters.List.Follow(f)
	case effect.SetTimer:
		l.timer.Reset(time.Until(l.Time(f.At)))
	case effect.ReadSlot, effect.SwapSlot, effect.ReadRoot, effect.WatchRoot, effect.ReadShards, effect.DecodeShards:
		l.adapters.Store.Call(f)
	case effect.Record, effect.Notice, effect.SetReady, effect.ReportStatus:
		l.adapters.Observer.Observe(f)
	case effect.Exit:
		return true
	}
	return false
}
