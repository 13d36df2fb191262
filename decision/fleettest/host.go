package fleettest

import (
	"time"

	"pollensail.dev/decision"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

const (
	// writeDelay is the longest time from a Forward to its first byte.
	writeDelay = 2 * time.Millisecond
	// serviceTime is how long a backend server works on a request.
	serviceTime = 20 * time.Millisecond
	// wallStart is the wall-clock time at the start of each fleet.
	wallStart model.WallTime = 1_700_000_000_000
)

// Host is one life of an entry host.
type Host struct {
	Ref   model.HostRef
	Entry model.HostEntry
	State *decision.State

	fleet    *Fleet
	alive    bool
	paused   bool
	stopping bool
	waiting  []func() // what happened while paused
	offset   model.Instant
	admitted map[model.RequestID]bool
	timer    uint64 // serial of the last SetTimer
	version  uint64 // of the snapshot in force
}

// Alive reports whether the host runs or is paused.
func (h *Host) Alive() bool { return h.alive }

// Running reports whether the host runs and is not paused.
func (h *Host) Running() bool { return h.alive && !h.paused }

// Serving reports whether the host runs and has not been asked to stop.
func (h *Host) Serving() bool { return h.alive && !h.stopping }

// Kill ends the host without notice.
func (h *Host) Kill() { h.alive = false }

// Stop begins a planned stop.
func (h *Host) Stop() {
	h.stopping = true
	h.Post(event.StopRequested{})
}

// Pause stops the host from doing anything until Resume. Its clock goes on.
func (h *Host) Pause() { h.paused = true }

// Resume lets a paused host go on with what has arrived meanwhile.
func (h *Host) Resume() {
	h.paused = false
	waiting := h.waiting
	h.waiting = nil
	for _, run := range waiting {
		h.do(run)
	}
}

// do runs an action of the host, after the pause if it is paused.
func (h *Host) do(run func()) {
	switch {
	case !h.alive:
	case h.paused:
		h.waiting = append(h.waiting, run)
	default:
		run()
	}
}

// Now returns the time on the host's clock.
func (h *Host) Now() model.Instant { return h.offset.Add(h.fleet.Now) }

// Post hands an event to the host's reducer and carries out the effects.
func (h *Host) Post(body event.Body) {
	h.do(func() {
		e := event.Event{At: h.Now(), Wall: wallStart.Add(h.fleet.Now), Body: body}
		for _, f := range append([]effect.Effect(nil), decision.Reduce(h.State, e)...) {
			h.apply(f)
		}
	})
}

func (h *Host) apply(f effect.Effect) {
	if h.fleet.Intercept != nil && h.fleet.Intercept(h, f) {
		return
	}
	switch f := f.(type) {
	case effect.Send:
		h.fleet.deliver(h, f)
	case effect.SetTimer:
		h.setTimer(f.At)
	case effect.ReadSlot:
		h.fleet.Store.read(h, f)
	case effect.SwapSlot:
		h.fleet.Store.swap(h, f)
	case effect.Forward:
		h.forward(f)
	case effect.Deliver:
		h.answered(f.Request)
	case effect.Refuse:
		h.answered(f.Request)
	case effect.Replay:
		h.answered(f.Request)
	case effect.Record:
		h.fleet.Outcomes = append(h.fleet.Outcomes, Outcome{h.fleet.Now, h.Ref.ID, f.Outcome})
	case effect.Notice:
		h.fleet.Notices = append(h.fleet.Notices, Notice{h.fleet.Now, h.Ref, f})
	case effect.CloseTraffic:
		h.after(0, func() { h.Post(event.TrafficClosed{}) })
	case effect.Exit:
		h.alive = false
	}
}

// configure puts a snapshot into force, unless a newer one is.
func (h *Host) configure(snapshot *configuration.Snapshot) {
	if snapshot.Version > h.version {
		h.version = snapshot.Version
		h.fleet.Configure(h.State, snapshot)
	}
}

func (h *Host) after(d time.Duration, run func()) {
	h.fleet.After(d, func() { h.do(run) })
}

func (h *Host) setTimer(at model.Instant) {
	h.timer++
	serial := h.timer
	h.after(max(0, at.Sub(h.Now())), func() {
		if serial == h.timer {
			h.Post(event.TimerFired{})
		}
	})
}

// forward counts the request as admitted at the time of the decision. The
// first byte follows a little later.
func (h *Host) forward(f effect.Forward) {
	if !h.admitted[f.Request] {
		h.admitted[f.Request] = true
		h.fleet.Admitted = append(h.fleet.Admitted, h.admission(f))
	}
	h.after(h.fleet.between(0, writeDelay), func() { h.write(f) })
}

func (h *Host) admission(f effect.Forward) Admission {
	return Admission{h.fleet.Now, h.Ref.ID, f.Request, f.Account}
}

// write begins an attempt unless its time has passed.
func (h *Host) write(f effect.Forward) {
	ended := event.AttemptEnded{Request: f.Request, Server: f.Server}
	if h.Now() > f.NotAfter {
		ended.Result = model.AttemptResult{Verdict: model.NotRun, Reason: model.ReasonTimedOut}
		h.Post(ended)
		return
	}
	h.fleet.Written = append(h.fleet.Written, h.admission(f))
	ended.Result = model.AttemptResult{Verdict: model.Ran, Status: 200}
	h.after(serviceTime, func() { h.Post(ended) })
}

func (h *Host) answered(id model.RequestID) {
	h.after(0, func() { h.Post(event.AnswerSent{Request: id, Complete: true}) })
}
