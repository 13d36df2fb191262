package frontend

import (
	"io"
	"net"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/event"
	"pollensail.dev/host/socket"
)

// listener wraps the connections of callers.
type listener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, raw: socket.Of(c), writeTimeout: l.writeTimeout}, nil
}

// callerConn is a caller's connection. It learns whether an answer was
// accepted whole, which fasthttp does not tell the handler. Only the serving
// goroutine uses its fields.
type callerConn struct {
	net.Conn
	raw          syscall.RawConn
	writeTimeout time.Duration
	failed       bool // a write failed; no later answer can be whole
	lingering    bool // the request was not read whole
	delivery     *delivery
}

// delivery is an answer on its way to the caller.
type delivery struct {
	exchange *exchange
	missing  int         // bytes of the body, at least, that are still to be written
	source   *bodySource // nil unless streamed
}

// Write implements net.Conn with a timeout for each write, so that a long
// answer is not cut while its caller reads on.
func (c *callerConn) Write(p []byte) (int, error) {
	if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		c.failed = true
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed = true
	}
	if c.delivery != nil {
		c.delivery.missing -= n
	}
	return n, err
}

// SetWriteDeadline does nothing, because Write sets its own.
func (c *callerConn) SetWriteDeadline(time.Time) error { return nil }

// Limits of what is read of a request after its refusal.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
)

// Close implements net.Conn. After a refusal it reads on for a while: closing
// a connection with unread bytes resets it, and the caller could lose the
// answer.
func (c *callerConn) Close() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if c.lingering && ok {
		_ = tcp.CloseWrite()
		_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return c.Conn.Close()
}

// connState ends a delivery when the connection turns idle, which is after the
// answer was flushed, or is closed.
func connState(c net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateIdle && state != fasthttp.StateClosed {
		return
	}
	caller, ok := c.(*callerConn)
	if !ok || caller.delivery == nil {
		return
	}
	d := caller.delivery
	caller.delivery = nil
	d.finish(!caller.failed)
}

// finish reports the end of the delivery. It is complete only if everything
// was written and nothing was missing at the source.
func (d *delivery) finish(written bool) {
	sent := event.AnswerSent{Complete: written && d.missing < 0}
	if d.source != nil {
		sent.Complete = sent.Complete && d.source.ended
		sent.ServerFailed = d.source.failed
	}
	d.exchange.finish(sent)
}

// expect begins the delivery of an answer with a body of size bytes. The
// header makes the whole answer larger than its body. Setting a write
// deadline makes fasthttp flush each answer instead of holding it back for the
// next one of a pipeline.
func (x *exchange) expect(size int, source *bodySource) {
	_ = x.ctx.SetWriteDeadline(time.Time{})
	caller, ok := x.ctx.Conn().(*callerConn)
	if !ok {
		return
	}
	x.delivery = delivery{exchange: x, missing: size, source: source}
	caller.delivery = &x.delivery
}
