package frontend

import (
	"sync"
	"time"

	"pollensail.dev/host/backend"
	"pollensail.dev/host/socket"
)

// watchDelay is how long a request waits before its caller is watched. Most
// end earlier and are spared the goroutine.
const watchDelay = 20 * time.Millisecond

// longAgo is a deadline that ends reads at once.
var longAgo = time.Unix(1, 0)

// watch notices when a caller leaves while its request waits or runs. A caller
// that sends its next request early cannot be watched any further.
type watch struct {
	conn  *callerConn
	left  func() // called once, when the caller has left
	timer *time.Timer
	done  chan struct{} // closed once run has ended

	mu      sync.Mutex
	stopped bool
	hasLeft bool
	attempt *backend.Cancellation // of the running attempt; nil: none to cancel
}

// startWatch watches the caller until stop.
func startWatch(conn *callerConn, left func()) *watch {
	w := &watch{conn: conn, left: left, done: make(chan struct{})}
	w.timer = time.AfterFunc(watchDelay, w.run)
	return w
}

// cancellation returns what ends an attempt when the caller leaves.
func (w *watch) cancellation() *backend.Cancellation {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempt = new(backend.Cancellation)
	if w.hasLeft {
		w.attempt.Cancel()
	}
	return w.attempt
}

func (w *watch) run() {
	defer close(w.done)
	if w.begin() && socket.Wait(w.conn.raw) == socket.Closed && w.end() {
		w.left()
	}
}

// begin removes the read deadline that the request was read with. It reports
// false after stop.
func (w *watch) begin() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	return w.conn.SetReadDeadline(time.Time{}) == nil
}

// end cancels the attempt of a caller that has left. It reports false after
// stop.
func (w *watch) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.hasLeft = true
	if w.attempt != nil {
		w.attempt.Cancel()
	}
	return true
}

// stop ends the watch. fasthttp sets the connection's read deadline again
// before it reads.
func (w *watch) stop() {
	if w.timer.Stop() {
		return
	}
	w.interrupt()
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}

func (w *watch) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	_ = w.conn.SetReadDeadline(longAgo)
}
