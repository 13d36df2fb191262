package frontend

import (
	"sync"
	"time"

	"pollensail.dev/host/backend"
	"pollensail.dev/host/socket"
)

// watchDelay is the time from the arrival of a request until its caller is
// watched. Most requests complete earlier and need no goroutine for it.
const watchDelay = 20 * time.Millisecond

// pastDeadline is a deadline that makes pending reads fail immediately.
var pastDeadline = time.Unix(1, 0)

// callerWatch detects that a caller disconnects while its request is queued or
// runs. A caller that pipelines its next request is no longer watched, because
// the unread bytes hide the close of the connection.
type callerWatch struct {
	conn         *callerConn
	onDisconnect func() // called at most once
	timer        *time.Timer
	done         chan struct{} // closed once run has ended

	mu            sync.Mutex
	stopped       bool
	disconnected  bool
	cancellations []*backend.Cancellation // of the cancellable attempts
}

// startWatch watches for a disconnect of the caller until stop is called.
func startWatch(conn *callerConn, onDisconnect func()) *callerWatch {
	w := &callerWatch{conn: conn, onDisconnect: onDisconnect, done: make(chan struct{})}
	w.timer = time.AfterFunc(watchDelay, w.run)
	return w
}

// add adds the Cancellation of an attempt, which is cancelled when the caller
// disconnects.
func (w *callerWatch) add(c *backend.Cancellation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancellations = append(w.cancellations, c)
	if w.disconnected {
		c.Cancel()
	}
}

func (w *callerWatch) run() {
	defer close(w.done)
	if w.clearReadDeadline() && socket.WaitReadable(w.conn.rawConn) == socket.Closed && w.cancelAttempts() {
		w.onDisconnect()
	}
}

// clearReadDeadline clears the read deadline that was set for reading the
// request. It returns false after stop.
func (w *callerWatch) clearReadDeadline() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	return w.conn.SetReadDeadline(time.Time{}) == nil
}

// cancelAttempts records the disconnect and cancels the running attempts. It
// returns false after stop.
func (w *callerWatch) cancelAttempts() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.disconnected = true
	for _, c := range w.cancellations {
		c.Cancel()
	}
	return true
}

// stop ends the watch. If run has begun, the connection is left without a read
// deadline; fasthttp sets one before its next read.
func (w *callerWatch) stop() {
	if w.timer.Stop() {
		return
	}
	w.interrupt()
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}

func (w *callerWatch) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	_ = w.conn.SetReadDeadline(pastDeadline)
}
