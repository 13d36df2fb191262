package backend

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

// Attempt is what to send where, until when.
type Attempt struct {
	Forward effect.Forward
	// ID is sent as wire.RequestID. An answer that echoes another one is a
	// bad answer.
	ID string
	// Request has the end-to-end fields only. Do writes its length, ID and
	// Timeout fields.
	Request *fasthttp.Request
}

// failure is how an attempt failed. The zero value is none.
type failure struct {
	verdict model.Verdict
	reason  model.Reason
}

func (f failure) isNone() bool { return f.reason == "" }

// exchange is the state of one attempt.
type exchange struct {
	Attempt
	transport *Transport
	deadline  time.Time // zero: none
	conn      *conn
	started   model.Instant // before the first byte was written
}

// Do makes one attempt. The answer is nil unless the result has no reason and
// the request was not shed; the caller releases it. Do returns at the
// deadline at the latest.
func (t *Transport) Do(a Attempt) (model.AttemptResult, *Answer) {
	e := exchange{Attempt: a, transport: t}
	if a.Forward.Deadline != model.Never {
		e.deadline = t.clock.Time(a.Forward.Deadline)
	}
	if f := e.send(); !f.isNone() {
		return e.failed(f), nil
	}
	answer, f := e.receive()
	if !f.isNone() {
		e.conn.close()
		return e.failed(f), nil
	}
	return e.finish(answer)
}

// send writes the request to an idle connection or to a new one. A connection
// that accepts no byte is replaced once, because the request cannot have run.
func (e *exchange) send() failure {
	if c := e.transport.take(e.Forward.Server); c != nil {
		written, f := e.write(c)
		if written > 0 || f.isNone() || f.reason != model.ReasonServerFailed {
			return f
		}
	}
	if f := e.checkTime(); !f.isNone() {
		return f
	}
	c, err := e.transport.dial(e.Forward.Server, e.deadline)
	if err != nil {
		return e.unsent(err)
	}
	_, f := e.write(c)
	return f
}

// write writes the request and returns how many bytes the connection took.
func (e *exchange) write(c *conn) (int64, failure) {
	if err := c.tcp.SetDeadline(e.deadline); err != nil {
		c.close()
		return 0, e.unsent(err)
	}
	message := e.encode(c)
	if f := e.checkTime(); !f.isNone() {
		c.close()
		return 0, f
	}
	e.started = e.transport.clock.Now()
	written, err := message.WriteTo(c.tcp)
	if err == nil {
		e.conn = c
		return written, failure{}
	}
	c.close()
	if written == 0 {
		return 0, e.unsent(err)
	}
	return written, failure{model.MayHaveRun, reasonOf(err)}
}

// encode returns the request in the form in which it is written.
func (e *exchange) encode(c *conn) net.Buffers {
	header := &e.Request.Header
	header.Set(wire.RequestID, e.ID)
	header.SetBytesV(wire.Timeout, e.appendTimeout(nil))
	body := e.Request.Body()
	if len(body) > 0 || !header.IsGet() && !header.IsHead() {
		header.SetContentLength(len(body))
	}
	c.out = append(c.out[:0], header.Header()...)
	if len(body) == 0 {
		return net.Buffers{c.out}
	}
	return net.Buffers{c.out, body}
}

func (e *exchange) appendTimeout(dst []byte) []byte {
	if e.deadline.IsZero() {
		return wire.AppendTimeout(dst, wire.MaxTimeout)
	}
	return wire.AppendTimeout(dst, time.Until(e.deadline))
}

// checkTime fails once nothing may be written any more.
func (e *exchange) checkTime() failure {
	now := e.transport.clock.Now()
	if now >= e.Forward.Deadline {
		return failure{model.NotRun, model.ReasonTimedOut}
	}
	if now > e.Forward.NotAfter {
		return failure{model.NotRun, model.ReasonDeadlineTooShort}
	}
	return failure{}
}

// unsent is the failure of an attempt that wrote nothing. At the deadline it
// is no fault of the server.
func (e *exchange) unsent(error) failure {
	if e.transport.clock.Now() >= e.Forward.Deadline {
		return failure{model.NotRun, model.ReasonTimedOut}
	}
	return failure{model.NotRun, model.ReasonServerFailed}
}

// reasonOf tells a deadline from a broken connection.
func reasonOf(err error) model.Reason {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return model.ReasonTimedOut
	}
	return model.ReasonServerFailed
}

func (e *exchange) failed(f failure) model.AttemptResult {
	return model.AttemptResult{
		Verdict: f.verdict,
		Reason:  f.reason,
		Latency: e.latency(),
	}
}

func (e *exchange) latency() model.Instant {
	if e.started == 0 {
		return 0
	}
	return e.transport.clock.Now() - e.started
}
