package backend

import (
	"cmp"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

// Attempt describes one attempt to send a request to a backend server.
type Attempt struct {
	Forward effect.Forward
	// RequestID is sent in the request ID field. A response with a different
	// request ID is invalid. All attempts of a request have the same one, so each uses
	// a connection that has not carried another.
	RequestID string
	// Request has only end-to-end fields. Do sets its Content-Length and the
	// fields of the dialect: request ID, timeout, identity and account.
	Request *fasthttp.Request
	// BodyRest holds the parts of the body that follow the one in Request, if it is
	// large. They are not changed.
	BodyRest [][]byte
	// Cancellation ends the attempt early. nil if it cannot be cancelled.
	Cancellation *Cancellation
	// Written is set once an attempt of the request has written to its server. The
	// attempts of a request share it; nil if there is only one.
	Written *atomic.Bool
	// Withdrawn ends the attempt if it is set before the first byte is written,
	// because the server was taken out of use. nil: never.
	Withdrawn *atomic.Bool
}

// failure is the verdict and the reason of a failed attempt. The zero value
// means no failure.
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
	started   model.Instant // start of the latest write; 0: none yet
	// writeError is set if only a part of the request was written. The server
	// may still have shed the request without reading the rest.
	writeError error
}

// Do makes one attempt and returns no later than its deadline. The response is
// nil if the result has a reason or if the server shed the request. The caller
// must release a response that is not nil.
func (t *Transport) Do(a Attempt) (model.AttemptResult, *Response) {
	e := exchange{Attempt: a, transport: t}
	if a.Forward.Deadline != model.Never {
		e.deadline = t.clock.Time(a.Forward.Deadline)
	}
	response, f := e.roundTrip()
	a.Cancellation.detachConn()
	if !f.isNone() {
		return e.failureResult(f), nil
	}
	return e.responseResult(response)
}

// roundTrip sends the request and receives the response.
func (e *exchange) roundTrip() (*Response, failure) {
	if f := e.send(); !f.isNone() {
		return nil, f
	}
	response, f := e.receive()
	if f.isNone() && e.writeError != nil && !e.isShed(&response.Response.Header) {
		response.Release()
		f = failure{model.MayHaveRun, failureReason(e.writeError)}
	}
	if !f.isNone() {
		e.conn.close()
	}
	return response, f
}

// send writes the request to an idle connection or to a new one. If an idle
// connection fails before it accepts a byte, the request cannot have run and is
// sent on a new connection instead.
func (e *exchange) send() failure {
	if c := e.transport.getIdleConn(e.Forward.Server, e.RequestID); c != nil {
		written, f := e.writeRequest(c)
		if written > 0 || f.isNone() || f.reason != model.ReasonServerFailed {
			return f
		}
	}
	if f := e.checkWriteAllowed(); !f.isNone() {
		return f
	}
	c, err := e.transport.dial(e.Forward.Server, e.deadline)
	if err != nil {
		return e.notWritten(err)
	}
	_, f := e.writeRequest(c)
	return f
}

// writeRequest writes the request and returns how many bytes the connection
// accepted.
func (e *exchange) writeRequest(c *conn) (int64, failure) {
	e.encodeHeader(c)
	err := e.Cancellation.attachConn(c, e.deadline)
	f := e.checkWriteAllowed()
	if err != nil || !f.isNone() {
		c.close()
		return 0, cmp.Or(f, e.notWritten(err))
	}
	e.started = e.transport.clock.Now()
	written, err := c.write(c.requestHeader, e.Request.Body(), e.BodyRest)
	if written == 0 {
		c.close()
		return 0, e.notWritten(err)
	}
	if e.Written != nil {
		e.Written.Store(true)
	}
	e.conn = c
	c.noteSent(e.RequestID, e.Request.Header.IsHead())
	e.writeError = err
	return written, failure{}
}

// encodeHeader sets the fields of the dialect and encodes the request header
// into c.requestHeader.
func (e *exchange) encodeHeader(c *conn) {
	var timeout [24]byte
	header := &e.Request.Header
	d := e.dialect()
	header.Set(d.RequestID, e.RequestID)
	header.SetBytesV(d.Timeout, d.AppendTimeout(timeout[:0], e.remainingTime()))
	setField(header, d.ExpectedIdentity, e.Forward.Server.Identity())
	setField(header, d.Account, e.Forward.AccountName)
	size := len(e.Request.Body())
	for _, part := range e.BodyRest {
		size += len(part)
	}
	if size > 0 || !header.IsGet() && !header.IsHead() {
		header.SetContentLength(size)
	}
	c.requestHeader = header.AppendBytes(c.requestHeader[:0])
}

// setField replaces a field, or removes it if value is empty, so that no value
// from the caller or from an earlier attempt remains. It does nothing if name
// is empty, that is if the dialect does not have the field.
func setField(header *fasthttp.RequestHeader, name, value string) {
	if name == "" {
		return
	}
	header.Del(name)
	if value != "" {
		header.Set(name, value)
	}
}

// remainingTime returns the time until the deadline, at most wire.MaxTimeout.
func (e *exchange) remainingTime() time.Duration {
	if e.deadline.IsZero() {
		return wire.MaxTimeout
	}
	return min(time.Until(e.deadline), wire.MaxTimeout)
}

// checkWriteAllowed fails after the deadline, after the latest time at which the
// request may be sent, and once the attempt is withdrawn.
func (e *exchange) checkWriteAllowed() failure {
	now := e.transport.clock.Now()
	if now >= e.Forward.Deadline {
		return failure{model.NotRun, model.ReasonTimedOut}
	}
	if now > e.notAfter() {
		return failure{model.NotRun, model.ReasonDeadlineTooShort}
	}
	if e.Withdrawn != nil && e.Withdrawn.Load() {
		return failure{model.NotRun, model.ReasonServerWithdrawn}
	}
	return failure{}
}

// notAfter returns the latest time at which the request may be sent.
func (e *exchange) notAfter() model.Instant {
	if e.Written != nil && e.Written.Load() {
		return max(e.Forward.NotAfter, e.Forward.NotAfterOnceWritten)
	}
	return e.Forward.NotAfter
}

// notWritten returns the failure of an attempt that wrote nothing. After the
// deadline it is a timeout, which does not count against the server.
func (e *exchange) notWritten(err error) failure {
	if e.transport.clock.Now() >= e.Forward.Deadline {
		return failure{model.NotRun, model.ReasonTimedOut}
	}
	return failure{model.NotRun, failureReason(err)}
}

// failureReason returns the reason for a connection error: a timeout for a
// deadline or a cancellation, a failure of the server for everything else.
func failureReason(err error) model.Reason {
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errCancelled) {
		return model.ReasonTimedOut
	}
	return model.ReasonServerFailed
}

func (e *exchange) failureResult(f failure) model.AttemptResult {
	return model.AttemptResult{
		Verdict: f.verdict,
		Reason:  f.reason,
		Latency: e.latency(),
	}
}

// latency returns the time since the latest write began, or 0 if none has.
func (e *exchange) latency() model.Instant {
	if e.started == 0 {
		return 0
	}
	return e.transport.clock.Now() - e.started
}
