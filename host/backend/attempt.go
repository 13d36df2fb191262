package backend

import (
	"cmp"
	"errors"
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
	// ID is sent as the RequestID field. An answer that echoes another one is a
	// bad answer.
	ID string
	// Request has the end-to-end fields only. Do writes its length, ID and
	// Timeout fields.
	Request *fasthttp.Request
	// Cancellation ends the attempt early. nil: never.
	Cancellation *Cancellation
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
	// writeError is set where only a part of the request was written. The
	// server may have shed it without reading on.
	writeError error
}

// Do makes one attempt. The answer is nil unless the result has no reason and
// the request was not shed; the caller releases it. Do returns at the
// deadline at the latest.
func (t *Transport) Do(a Attempt) (model.AttemptResult, *Answer) {
	e := exchange{Attempt: a, transport: t}
	if a.Forward.Deadline != model.Never {
		e.deadline = t.clock.Time(a.Forward.Deadline)
	}
	answer, f := e.run()
	a.Cancellation.unbind()
	if !f.isNone() {
		return e.failed(f), nil
	}
	return e.finish(answer)
}

// run sends the request and receives its answer.
func (e *exchange) run() (*Answer, failure) {
	if f := e.send(); !f.isNone() {
		return nil, f
	}
	answer, f := e.receive()
	if f.isNone() && e.writeError != nil && !e.isShed(&answer.Response.Header) {
		answer.Release()
		f = failure{model.MayHaveRun, reasonOf(e.writeError)}
	}
	if !f.isNone() {
		e.conn.close()
	}
	return answer, f
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
	e.encode(c)
	err := e.Cancellation.bind(c, e.deadline)
	f := e.checkTime()
	if err != nil || !f.isNone() {
		c.close()
		return 0, cmp.Or(f, e.unsent(err))
	}
	e.started = e.transport.clock.Now()
	written, err := c.write(c.header, e.Request.Body())
	if written == 0 {
		c.close()
		return 0, e.unsent(err)
	}
	e.conn = c
	e.writeError = err
	return written, failure{}
}

// encode puts the header of the request into c.header.
func (e *exchange) encode(c *conn) {
	var timeout [24]byte
	header := &e.Request.Header
	d := e.dialect()
	header.Set(d.RequestID, e.ID)
	header.SetBytesV(d.Timeout, d.AppendTimeout(timeout[:0], e.remaining()))
	setField(header, d.Identity, e.Forward.Server.Identity())
	setField(header, d.Account, e.Forward.AccountName)
	size := len(e.Request.Body())
	if size > 0 || !header.IsGet() && !header.IsHead() {
		header.SetContentLength(size)
	}
	c.header = header.AppendBytes(c.header[:0])
}

// setField sets a field that the dialect has. An empty value removes it, so
// that no value of the caller or of an earlier attempt remains.
func setField(header *fasthttp.RequestHeader, name, value string) {
	if name == "" {
		return
	}
	header.Del(name)
	if value != "" {
		header.Set(name, value)
	}
}

// remaining is the time until the deadline, at most wire.MaxTimeout.
func (e *exchange) remaining() time.Duration {
	if e.deadline.IsZero() {
		return wire.MaxTimeout
	}
	return min(time.Until(e.deadline), wire.MaxTimeout)
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
func (e *exchange) unsent(err error) failure {
	if e.transport.clock.Now() >= e.Forward.Deadline {
		return failure{model.NotRun, model.ReasonTimedOut}
	}
	return failure{model.NotRun, reasonOf(err)}
}

// reasonOf tells a deadline or a cancellation from a broken connection.
func reasonOf(err error) model.Reason {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errCancelled) {
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
