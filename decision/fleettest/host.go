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
	// writeDelay is the longest time from a Forward effect to the first byte of
	// its attempt.
	writeDelay = 2 * time.Millisecond
	// serviceTime is how long a backend server processes a request.
	serviceTime = 20 * time.Millisecond
	// wallStart is the wall-clock time at the start of each fleet, in
	// milliseconds of Unix time.
	wallStart model.WallTime = 1_700_000_000_000
)

// Host is one incarnation of an entry host.
type Host struct {
	Ref   model.HostRef
	Entry model.HostEntry
	State *decision.State

	fleet           *Fleet
	isAlive         bool
	isPaused        bool
	isStopping      bool
	deferred        []func()                 // actions that became due while the host was paused
	clockOffset     model.Instant            // of the host's clock from the fleet's time
	admitted        map[model.RequestID]bool // requests that were forwarded
	timerSerial     uint64                   // number of the last SetTimer; earlier timers are void
	snapshotVersion uint64                   // of the snapshot in force
	peers           map[model.HostID]bool    // hosts to which messages can be sent
}

// Alive reports whether the host's process exists: it runs or is paused.
func (h *Host) Alive() bool { return h.isAlive }

// Running reports whether the host is alive and not paused.
func (h *Host) Running() bool { return h.isAlive && !h.isPaused }

// Serving reports whether the host is alive and was not asked to stop.
func (h *Host) Serving() bool { return h.isAlive && !h.isStopping }

// Kill ends the host as a crash does.
func (h *Host) Kill() { h.isAlive = false }

// Stop requests a planned stop.
func (h *Host) Stop() {
	h.isStopping = true
	h.Post(event.StopRequested{})
}

// Pause keeps the host from doing anything until Resume, like a stopped
// process. Its clock goes on.
func (h *Host) Pause() { h.isPaused = true }

// Resume ends the pause; the host first handles what has arrived meanwhile.
func (h *Host) Resume() {
	h.isPaused = false
	waiting := h.deferred
	h.deferred = nil
	for _, run := range waiting {
		h.runOrDefer(run)
	}
}

// runOrDefer runs an action of the host, or defers it to the end of the pause
// if the host is paused. A dead host runs nothing.
func (h *Host) runOrDefer(run func()) {
	switch {
	case !h.isAlive:
	case h.isPaused:
		h.deferred = append(h.deferred, run)
	default:
		run()
	}
}

// Now returns the time on the host's clock.
func (h *Host) Now() model.Instant { return h.clockOffset.Add(h.fleet.Now) }

// Post passes an event to the host's reducer and carries out the effects.
func (h *Host) Post(body event.Body) {
	h.runOrDefer(func() {
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
	case effect.SetHosts:
		h.setPeers(f.Entries)
	case effect.Send:
		if h.peers[f.To] {
			h.fleet.send(h, f)
		}
	case effect.SetTimer:
		h.setTimer(f.At)
	case effect.ReadSlot:
		h.fleet.Store.read(h, f)
	case effect.SwapSlot:
		h.fleet.Store.compareAndSwap(h, f)
	case effect.Forward:
		h.forward(f)
	case effect.Deliver:
		h.postResponseSent(f.Request)
	case effect.Refuse:
		h.postResponseSent(f.Request)
	case effect.Replay:
		h.postResponseSent(f.Request)
	case effect.RecordOutcome:
		h.fleet.Outcomes = append(h.fleet.Outcomes, Outcome{h.fleet.Now, h.Ref.ID, f.Outcome})
	case effect.Notice:
		h.fleet.Notices = append(h.fleet.Notices, Notice{h.fleet.Now, h.Ref, f})
	case effect.CloseTraffic:
		h.after(0, func() { h.Post(event.TrafficClosed{}) })
	case effect.Exit:
		h.isAlive = false
	}
}

// setPeers limits the messages that can be sent to the entry hosts in the list, as
// the links of a real host do.
func (h *Host) setPeers(entries []model.HostEntry) {
	h.peers = make(map[model.HostID]bool)
	for _, e := range entries {
		if e.Role == model.RoleEntry {
			h.peers[model.HostID(e.ID)] = true
		}
	}
}

// configure applies a snapshot unless the same or a newer one is in force.
func (h *Host) configure(snapshot *configuration.Snapshot) {
	if snapshot.Version > h.snapshotVersion {
		h.snapshotVersion = snapshot.Version
		h.fleet.Configure(h.State, snapshot)
	}
}

// after schedules an action of the host.
func (h *Host) after(d time.Duration, run func()) {
	h.fleet.After(d, func() { h.runOrDefer(run) })
}

func (h *Host) setTimer(at model.Instant) {
	h.timerSerial++
	serial := h.timerSerial
	h.after(max(0, at.Sub(h.Now())), func() {
		if serial == h.timerSerial {
			h.Post(event.TimerFired{})
		}
	})
}

// forward counts the request as admitted at the time of the decision. The first
// byte is written after up to writeDelay.
func (h *Host) forward(f effect.Forward) {
	if !h.admitted[f.Request] {
		h.admitted[f.Request] = true
		h.fleet.Admitted = append(h.fleet.Admitted, h.newAdmission(f))
	}
	h.after(h.fleet.randomDelay(0, writeDelay), func() { h.startAttempt(f) })
}

func (h *Host) newAdmission(f effect.Forward) Admission {
	return Admission{h.fleet.Now, h.Ref.ID, f.Request, f.Account}
}

// startAttempt writes the first byte of an attempt, unless it is too late for
// the attempt to start.
func (h *Host) startAttempt(f effect.Forward) {
	ended := event.AttemptEnded{Request: f.Request, Attempt: f.Attempt, Server: f.Server}
	if h.Now() > f.NotAfter {
		ended.Result = model.AttemptResult{Verdict: model.NotRun, Reason: model.ReasonTimedOut}
		h.Post(ended)
		return
	}
	h.fleet.Written = append(h.fleet.Written, h.newAdmission(f))
	ended.Result = model.AttemptResult{Verdict: model.Ran, Status: 200}
	h.after(serviceTime, func() { h.Post(ended) })
}

func (h *Host) postResponseSent(id model.RequestID) {
	h.after(0, func() { h.Post(event.ResponseSent{Request: id, Complete: true}) })
}
