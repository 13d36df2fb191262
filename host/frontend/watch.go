package frontend

import (
	"time"

	"pollensail.dev/host/backend"
	"pollensail.dev/host/socket"
)

// longAgo is a deadline that ends reads at once.
var longAgo = time.Unix(1, 0)

// watch cancels an attempt when its caller leaves. A caller that sends its
// next request early cannot be watched any further.
type watch struct {
	backend.Cancellation
	conn *callerConn
	done chan struct{}
}

// startWatch watches the caller until stop.
func startWatch(conn *callerConn) *watch {
	w := &watch{conn: conn, done: make(chan struct{})}
	_ = conn.SetReadDeadline(time.Time{})
	go w.run()
	return w
}

func (w *watch) run() {
	defer close(w.done)
	if socket.Wait(w.conn.raw) == socket.Closed {
		w.Cancel()
	}
}

// stop ends the watch. fasthttp sets the connection's read deadline again
// before it reads.
func (w *watch) stop() {
	_ = w.conn.SetReadDeadline(longAgo)
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}
