package frontend

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/event"
	"pollensail.dev/host/socket"
)

// listener wraps each accepted connection in a callerConn.
type listener struct {
	net.Listener
	writeTimeout time.Duration
	open         *openConns
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	caller := &callerConn{Conn: c, rawConn: socket.RawConn(c), writeTimeout: l.writeTimeout, open: l.open}
	l.open.add(caller)
	return caller, nil
}

// callerConn is a connection from a caller. It tracks whether a response was
// written completely, which fasthttp does not report to the handler. Only the
// goroutine that serves the connection uses its fields, but for the atomic ones.
type callerConn struct {
	net.Conn
	rawConn      syscall.RawConn
	writeTimeout time.Duration
	writeFailed  bool // a write failed, so that no later response can be complete
	delivery     *delivery
	open         *openConns
	phase        atomic.Uint32 // a connPhase
	// isAnswering is set from when a response is begun until it was flushed and
	// the connection is kept. Whoever clears it ends the delivery. A connection
	// that is closed while it is set performs a lingering close.
	isAnswering atomic.Bool
	isLingering atomic.Bool // Close leaves the connection to linger
	unreadBody  int64       // size in bytes of the largest body of which the rest was not read
}

// Read implements net.Conn. The first byte of a request ends the wait for it.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.beginRequest() {
		return 0, net.ErrClosed
	}
	return n, err
}

// delivery is the progress of writing a response to the caller.
type delivery struct {
	exchange  *exchange
	remaining int         // size of the body (0: unknown) minus the bytes written, header included
	status    int         // of the response
	begun     bool        // a byte of the response was written
	source    *bodySource // nil unless streamed
}

// Write implements net.Conn. The timeout applies to each write, so that a large
// response is not truncated as long as its caller keeps reading.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		c.writeFailed = true
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed = true
	}
	if c.delivery != nil {
		c.delivery.remaining -= n
		c.delivery.begun = c.delivery.begun || n > 0
	}
	return n, err
}

// SetWriteDeadline does nothing, because Write sets the deadline.
func (c *callerConn) SetWriteDeadline(time.Time) error { return nil }

// Limits of the lingering close: how much is read from the caller after the last
// response, and for how long.
const (
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// Close implements net.Conn. After a response it performs a lingering close
// (RFC 9112, section 9.6): TCP resets a connection that is closed with unread
// bytes, or to which bytes come after it was closed, and the caller could lose what
// it has not received of the response.
func (c *callerConn) Close() error {
	if c.isLingering.Load() {
		return nil // fasthttp holds the connection to be idle
	}
	if c.isAnswering.Load() && !c.writeFailed {
		c.endDelivery()
		c.linger()
	}
	return c.Conn.Close()
}

// linger closes the sending side and waits until the caller closes its own.
func (c *callerConn) linger() {
	sender, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || sender.CloseWrite() != nil {
		return
	}
	c.isLingering.Store(true)
	defer c.isLingering.Store(false)
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes+c.unreadBody)
	}
}

// connState ends a delivery when the connection becomes idle, which happens
// after the response was flushed, or when it is closed. During Shutdown, fasthttp
// closes a connection that becomes idle, also one whose response, begun before the
// stop, did not announce it.
func connState(c net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle && state != fasthttp.StateClosed {
		return
	}
	caller, ok := c.(*callerConn)
	if !ok {
		return
	}
	caller.endDelivery()
	switch {
	case state == fasthttp.StateClosed:
		caller.open.remove(caller)
	case caller.open.isClosing.Load():
		caller.closeAnswered()
	default:
		caller.endRequest()
	}
}

// closeAnswered closes a connection after its last response. Later requests on it,
// also those that fasthttp has read ahead, are not served: the caller could not get
// their responses, and parts of them were discarded.
func (c *callerConn) closeAnswered() {
	c.linger()
	c.phase.Store(connClosed)
	_ = c.Conn.Close()
}

// endDelivery reports the end of the response, if one was begun.
func (c *callerConn) endDelivery() {
	if !c.isAnswering.CompareAndSwap(true, false) || c.delivery == nil {
		return
	}
	d := c.delivery
	c.delivery = nil
	d.finish(!c.writeFailed)
}

// finish reports the end of the delivery. The delivery is complete if the whole
// response was written and the body from the server was not truncated.
func (d *delivery) finish(flushed bool) {
	sent := event.ResponseSent{Complete: flushed && d.remaining < 0}
	if d.begun {
		sent.Status = d.status
	}
	if d.source != nil {
		sent.Complete = sent.Complete && d.source.sawEOF
		sent.ServerFailed = d.source.serverFailed
	}
	d.exchange.finish(sent)
}

// beginDelivery starts the delivery of a response with a body of size bytes.
// With its header the response is larger, so that a complete one leaves
// delivery.remaining negative. Setting a write deadline makes fasthttp flush
// each response instead of buffering it while pipelined requests follow.
func (x *exchange) beginDelivery(size int, source *bodySource) {
	_ = x.ctx.SetWriteDeadline(time.Time{})
	caller, ok := x.ctx.Conn().(*callerConn)
	if !ok {
		return
	}
	x.delivery = delivery{exchange: x, remaining: size, source: source, status: x.ctx.Response.StatusCode()}
	caller.delivery = &x.delivery
	caller.isAnswering.Store(true)
}
