package backend

import (
	"errors"
	"sync"
	"time"
)

// errCancelled is returned for an attempt that was cancelled before it wrote.
var errCancelled = errors.New("cancelled")

// longAgo is a deadline that ends reads and writes at once.
var longAgo = time.Unix(1, 0)

// Cancellation ends an attempt before its deadline, as if the deadline had
// been reached. The zero value is ready for one attempt.
type Cancellation struct {
	mu        sync.Mutex
	cancelled bool
	conn      *conn // nil while there is none to interrupt
}

// Cancel ends the attempt. It may be called at any time, also after its end.
func (c *Cancellation) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelled = true
	if c.conn != nil {
		_ = c.conn.tcp.SetDeadline(longAgo)
	}
}

// bind sets the deadline of the attempt's connection, which Cancel interrupts
// from now on. It fails where the attempt is cancelled already.
func (c *Cancellation) bind(conn *conn, deadline time.Time) error {
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

// unbind ends the use of the connection.
func (c *Cancellation) unbind() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}
