// Package control runs the reducer in an event loop: one goroutine owns the
// decision state, processes events one at a time and passes the resulting
// effects to adapters. Adapters must not block: they work in goroutines of
// their own and post events.
package control

import (
	"context"
	"time"

	"pollensail.dev/decision"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// eventQueueSize is the number of events that may wait for the control goroutine
// before Post blocks.
const eventQueueSize = 4096

// Traffic carries out the effects on callers' requests: Forward, CancelAttempt,
// WithdrawUnsent, Deliver, Refuse, Replay, GrantMemory and CloseTraffic, and on the
// connections to servers CloseIdle and SetResponseMemory.
type Traffic interface{ Apply(effect.Effect) }

// Peers sends messages to other hosts. It drops a message that it cannot send
// immediately. SetHosts sets the addresses of the hosts.
type Peers interface {
	Send(effect.Send)
	SetHosts([]model.HostEntry)
}

// List watches the platform's list of hosts and servers in the store.
type List interface{ WatchHostList(effect.WatchHostList) }

// Store carries out ReadSlot, SwapSlot, ReadRoot, WatchRoot, ReadShards and
// DecodeShards and posts their results as events.
type Store interface{ Call(effect.Effect) }

// Observer carries out the effects for operators: RecordOutcome, RecordStop,
// Notice, SetReady and ReportStatus.
type Observer interface{ Observe(effect.Effect) }

// Adapters holds the adapters that carry out the effects.
type Adapters struct {
	Traffic  Traffic
	Peers    Peers
	Store    Store
	List     List
	Observer Observer
}

// Loop is the event loop of a process's control goroutine. Create it with New.
type Loop struct {
	state    *decision.State
	adapters Adapters
	events   chan event.Body
	done     chan struct{}
	start    model.Instant // as returned by sinceBoot
	timer    *time.Timer
}

// New returns a loop that is not running. Call Connect before Run.
func New() *Loop {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return &Loop{
		state:  decision.NewState(),
		events: make(chan event.Body, eventQueueSize),
		done:   make(chan struct{}),
		start:  sinceBoot(),
		timer:  timer,
	}
}

// Connect sets the adapters.
func (l *Loop) Connect(a Adapters) { l.adapters = a }

// Post queues an event for the control goroutine and blocks while the queue is
// full. It returns false if the loop has ended. It is safe for concurrent use.
func (l *Loop) Post(body event.Body) bool {
	select {
	case l.events <- body:
		return true
	case <-l.done:
		return false
	}
}

// Now returns the current Instant of the process.
func (l *Loop) Now() model.Instant { return sinceBoot() - l.start }

// Time converts an Instant of this process to a time.Time with a monotonic clock
// reading.
func (l *Loop) Time(at model.Instant) time.Time { return time.Now().Add(at.Sub(l.Now())) }

// Run runs the reducer until it emits effect.Exit, which returns nil, or until
// ctx ends.
func (l *Loop) Run(ctx context.Context, started event.Started) error {
	defer close(l.done)
	if l.step(started) {
		return nil
	}
	for {
		body, err := l.nextEvent(ctx)
		if err != nil {
			return err
		}
		if l.step(body) {
			return nil
		}
	}
}

// nextEvent waits for the next posted event or the timer.
func (l *Loop) nextEvent(ctx context.Context) (event.Body, error) {
	select {
	case body := <-l.events:
		return body, nil
	case <-l.timer.C:
		return event.TimerFired{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// step reduces one event, carries out its effects and reports whether the process
// must exit.
func (l *Loop) step(body event.Body) bool {
	e := event.Event{
		At:   l.Now(),
		Wall: model.WallTime(time.Now().UnixMilli()),
		Body: body,
	}
	exit := false
	for _, f := range decision.Reduce(l.state, e) {
		exit = l.dispatch(f) || exit
	}
	return exit
}

// dispatch passes an effect to its adapter and reports whether it is Exit.
func (l *Loop) dispatch(f effect.Effect) bool {
	switch f := f.(type) {
	case effect.Forward, effect.CancelAttempt, effect.WithdrawUnsent, effect.Deliver, effect.Refuse, effect.Replay, effect.CloseIdle, effect.CloseTraffic,
		effect.GrantMemory, effect.SetResponseMemory:
		l.adapters.Traffic.Apply(f)
	case effect.Send:
		l.adapters.Peers.Send(f)
	case effect.SetHosts:
		l.adapters.Peers.SetHosts(f.Entries)
	case effect.WatchHostList:
		l.adapters.List.WatchHostList(f)
	case effect.SetTimer:
		l.timer.Reset(time.Until(l.Time(f.At)))
	case effect.ReadSlot, effect.SwapSlot, effect.ReadRoot, effect.WatchRoot, effect.ReadShards, effect.DecodeShards:
		l.adapters.Store.Call(f)
	case effect.RecordOutcome, effect.RecordStop, effect.Notice, effect.SetReady, effect.ReportStatus:
		l.adapters.Observer.Observe(f)
	case effect.Exit:
		return true
	}
	return false
}
