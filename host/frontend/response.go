package frontend

import (
	"errors"
	"io"
	"os"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/backend"
	"pollensail.dev/host/wire"
)

// deliver sends the response of an attempt to the caller.
func (x *exchange) deliver(attempt int) {
	response := x.attempts.response(attempt)
	if response == nil {
		x.refuseInternal()
		return
	}
	out := &x.ctx.Response
	copyHeader(out, &response.Response, x.dialect())
	x.setFleetFields(model.Ran)
	if response.Streaming() {
		x.deliverStream(out, x.attempts.takeResponse(attempt))
		return
	}
	body := response.Response.Body()
	out.SetBodyRaw(body)
	x.beginDelivery(len(body), nil)
}

// deliverStream sends a response whose body is still arriving, and releases it.
func (x *exchange) deliverStream(out *fasthttp.Response, response *backend.Response) {
	body, size := response.Stream()
	source := &bodySource{response: response, body: body}
	out.SetBodyStream(source, size)
	out.ImmediateHeaderFlush = true // the body may arrive slowly
	x.beginDelivery(max(size, 0), source)
}

// copyHeader copies the status and the end-to-end fields. For a response to
// HEAD, which has no body, it copies the Content-Length as well.
func copyHeader(out, in *fasthttp.Response, d *wire.Dialect) {
	out.SetStatusCode(in.StatusCode())
	listed := wire.ParseConnectionOptions(in.Header.All())
	for name, value := range in.Header.All() {
		if listed.IsEndToEnd(d, name) {
			out.Header.AddBytesKV(name, value)
		}
	}
	if in.SkipBody && in.Header.ContentLength() >= 0 {
		out.Header.SetContentLength(in.Header.ContentLength())
	}
}

// setFleetFields sets the fields that the fleet adds to every response: the
// verdict and the request ID.
func (x *exchange) setFleetFields(verdict model.Verdict) {
	header := &x.ctx.Response.Header
	if field := x.dialect().Verdict; field != "" {
		header.Set(field, verdict.String())
	}
	header.Set(x.dialect().RequestID, x.externalID)
}

func (x *exchange) dialect() *wire.Dialect { return &x.frontend.options.Dialect }

// replay sends the retained response of an earlier request with the same
// idempotency key.
func (x *exchange) replay(response model.Response) {
	out := &x.ctx.Response
	out.SetStatusCode(response.Status)
	for _, field := range response.Header {
		out.Header.Add(field.Name, field.Value)
	}
	out.Header.Set(wire.IdempotencyReplayed, "true")
	x.setFleetFields(model.Ran)
	out.SetBodyRaw(response.Body)
	x.beginDelivery(len(response.Body), nil)
}

// bodySource is the body of a streamed response. It records how the stream from
// the server ended.
type bodySource struct {
	response     *backend.Response
	body         io.Reader
	sawEOF       bool // the server sent the complete body
	serverFailed bool // the server truncated the body
}

// Read implements io.Reader. An error makes fasthttp close the caller's
// connection, by which the caller sees that the response is truncated.
func (s *bodySource) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	switch {
	case err == io.EOF:
		s.sawEOF = true
	case err != nil:
		// After the deadline, a slow caller may be the cause.
		s.serverFailed = !errors.Is(err, os.ErrDeadlineExceeded)
	}
	return n, err
}

// Close implements io.Closer.
func (s *bodySource) Close() error {
	if s.response != nil {
		s.response.Release()
		s.response = nil
	}
	return nil
}
