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

// deliver passes on the answer of the last attempt.
func (x *exchange) deliver() {
	if x.answer == nil {
		x.refuseInternal()
		return
	}
	out := &x.ctx.Response
	copyHeader(out, &x.answer.Response, x.dialect())
	x.setOwnFields(model.Ran)
	if x.answer.Streaming() {
		x.deliverStream(out)
		return
	}
	body := x.answer.Response.Body()
	out.SetBodyRaw(body)
	x.expect(len(body), nil)
}

func (x *exchange) deliverStream(out *fasthttp.Response) {
	body, size := x.answer.Stream()
	source := &bodySource{answer: x.answer, body: body}
	x.answer = nil // source releases it
	out.SetBodyStream(source, size)
	out.ImmediateHeaderFlush = true // the body may be slow to come
	x.expect(max(size, 0), source)
}

// copyHeader copies status and end-to-end fields. The length of a body that
// is not sent (HEAD) is passed on as a plain field.
func copyHeader(out, in *fasthttp.Response, d *wire.Dialect) {
	out.SetStatusCode(in.StatusCode())
	listed := wire.ConnectionOf(in.Header.All())
	for name, value := range in.Header.All() {
		if listed.IsEndToEnd(d, name) {
			out.Header.AddBytesKV(name, value)
		}
	}
	if in.SkipBody && in.Header.ContentLength() >= 0 {
		out.Header.SetContentLength(in.Header.ContentLength())
	}
}

// setOwnFields sets the fields that every answer has.
func (x *exchange) setOwnFields(verdict model.Verdict) {
	header := &x.ctx.Response.Header
	if field := x.dialect().Verdict; field != "" {
		header.Set(field, verdict.String())
	}
	header.Set(x.dialect().RequestID, x.name)
}

func (x *exchange) dialect() *wire.Dialect { return &x.frontend.options.Dialect }

// replay sends a retained answer.
func (x *exchange) replay(answer model.Answer) {
	out := &x.ctx.Response
	out.SetStatusCode(answer.Status)
	for _, field := range answer.Header {
		out.Header.Add(field.Name, field.Value)
	}
	out.Header.Set(wire.Replayed, "true")
	x.setOwnFields(model.Ran)
	out.SetBodyRaw(answer.Body)
	x.expect(len(answer.Body), nil)
}

// bodySource is the body of a streamed answer on its way to the caller.
type bodySource struct {
	answer *backend.Answer
	body   io.Reader
	ended  bool // the server sent the whole body
	failed bool // the server broke the body off
}

// Read implements io.Reader. Its error makes fasthttp close the caller's
// connection, so that the caller sees the answer as truncated.
func (s *bodySource) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	switch {
	case err == io.EOF:
		s.ended = true
	case err != nil:
		// At the deadline the caller may be the slow one.
		s.failed = !errors.Is(err, os.ErrDeadlineExceeded)
	}
	return n, err
}

// Close implements io.Closer.
func (s *bodySource) Close() error {
	if s.answer != nil {
		s.answer.Release()
		s.answer = nil
	}
	return nil
}
