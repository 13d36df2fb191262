package frontend

import (
	"sync"
	"time"

	"pollensail.dev/host/backend"
	"pollensail.dev/host/socket"
)

// watchDelay is how long an attempt runs before its caller is watched. Most
// attempts end earlier and are spared the goroutine.
const watchDelay = 20 * time.Millisecond

// longAgo is a deadline that ends reads at once.
var longAgo = time.Unix(1, 0)

// watch cancels an attempt when its caller leaves. A caller that sends its
// next request early cannot be watched any further.
type watch struct {
	backend.Cancellation
	conn  *callerConn
	timer *time.Timer
	done  chan struct{} // closed once run has ended

	mu      sync.Mutex
	stopped bool
}

// startWatch watches the caller until stop.
func startWatch(conn *callerConn) *watch {
	w := &watch{conn: conn, done: make(chan struct{})}
	w.timer = time.AfterFunc(watchDelay, w.run)
	return w
}

func (w *watch) run() {
	defer close(w.done)
	if w.begin() && socket.Wait(w.conn.raw) == socket.Closed {
		w.Cancel()
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
