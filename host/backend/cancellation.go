package backend

import (
	"errors"
	"sync"
	"time"
)

// errCancelled is returned for an attempt that was cancelled before its first
// write.
var errCancelled = errors.New("cancelled")

// pastDeadline is a deadline that makes pending reads and writes fail
// immediately.
var pastDeadline = time.Unix(1, 0)

// Cancellation cancels an attempt, which then ends as if its deadline had
// passed. The zero value is ready to use, for one attempt only.
type Cancellation struct {
	mu        sync.Mutex
	cancelled bool
	conn      *conn // of the running attempt; nil if there is none
}

// Cancel ends the attempt. It may be called at any time, including before the
// attempt begins and after it has ended.
func (c *Cancellation) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.conn != nil {
		_ = c.conn.tcp.SetDeadline(pastDeadline)
	}
}

// attachConn sets the connection that Cancel interrupts, and the connection's
// deadline. It fails if the attempt is already cancelled.
func (c *Cancellation) attachConn(conn *conn, deadline time.Time) error {
	if c == nil {
		return conn.tcp.SetDeadline(deadline)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelled {
		return errCancelled
	}
	c.conn = conn
	return conn.tcp.SetDeadline(deadline)
}

// detachConn makes Cancel leave the connection alone, because the attempt no
// longer uses it.
func (c *Cancellation) detachConn() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}
