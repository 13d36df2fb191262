package backend

import (
	"errors"
	"io"
	"sync"
	"syscall"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

// Answer is a backend server's answer. Response has its header, and its body
// unless Streaming.
type Answer struct {
	Response fasthttp.Response
	stream   *stream
}

var answers = sync.Pool{New: func() any { return new(Answer) }}

func acquireAnswer() *Answer { return answers.Get().(*Answer) }

// Release ends the use of the answer. A stream that was not read to its end
// closes its connection.
func (a *Answer) Release() {
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
	_ = a.Response.CloseBodyStream()
	a.Response.Reset()
	a.Response.StreamBody = false
	a.Response.SkipBody = false
	answers.Put(a)
}

// Streaming reports whether the body still flows from the server.
func (a *Answer) Streaming() bool { return a.stream != nil }

// Stream returns the body of a streaming answer and its size in bytes, -1
// where it is not known. Reading it fails where the answer is truncated.
func (a *Answer) Stream() (body io.Reader, size int) { return a.stream, a.stream.size }

// stream is the body of a streaming answer. It holds the connection until
// Close.
type stream struct {
	transport *Transport
	conn      *conn
	response  *fasthttp.Response
	prefix    []byte
	size      int
	ended     bool // the whole body was read
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	if s.ended {
		return 0, io.EOF
	}
	n, err := s.response.BodyStream().Read(p)
	s.ended = err == io.EOF
	return n, err
}

// Close gives up the connection.
func (s *stream) Close() error {
	if s.conn == nil {
		return nil
	}
	if s.ended && s.conn.reader.Buffered() == 0 && !s.response.ConnectionClose() {
		s.transport.put(s.conn)
	} else {
		s.conn.close()
	}
	s.conn = nil
	return nil
}

// isReset reports whether the peer broke the connection off.
func isReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// finish turns an answer into the result of the attempt.
func (e *exchange) finish(answer *Answer) (model.AttemptResult, *Answer) {
	header := &answer.Response.Header
	result := model.AttemptResult{
		Verdict:   model.Ran,
		Status:    header.StatusCode(),
		Draining:  string(header.Peek(wire.ServerState)) == wire.StateDraining,
		Latency:   e.latency(),
		Streaming: answer.Streaming(),
	}
	if load, err := wire.ParseLoad(string(header.Peek(wire.Load))); err == nil {
		result.InFlight = load.InFlight
		result.Slots = load.Slots
	}
	if !answer.Streaming() {
		e.giveBack(answer)
	}
	if isShed(header) {
		result.Verdict = model.NotRun
		result.Shed = true
		result.Streaming = false
		answer.Release()
		return result, nil
	}
	result.Answer = e.retain(answer)
	return result, answer
}

func isShed(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusServiceUnavailable &&
		string(h.Peek(wire.Shed)) == wire.ShedNotRun
}

// giveBack keeps the connection of an answer that was read whole.
func (e *exchange) giveBack(answer *Answer) {
	if answer.Response.ConnectionClose() {
		e.conn.close()
		return
	}
	e.transport.put(e.conn)
}

// retain copies the answer where the effect asks for it and it fits.
func (e *exchange) retain(answer *Answer) *model.Answer {
	limit := e.Forward.RetainAnswer
	if limit <= 0 || answer.Streaming() || len(answer.Response.Body()) > limit {
		return nil
	}
	retained := &model.Answer{
		Status: answer.Response.StatusCode(),
		Header: endToEnd(&answer.Response.Header),
		Body:   append([]byte(nil), answer.Response.Body()...),
	}
	if retained.Size() > limit {
		return nil
	}
	return retained
}

// endToEnd copies the fields that are passed on.
func endToEnd(h *fasthttp.ResponseHeader) []model.Field {
	listed := wire.ConnectionOf(h.All())
	var fields []model.Field
	for name, value := range h.All() {
		if listed.IsEndToEnd(name) {
			fields = append(fields, model.Field{Name: string(name), Value: string(value)})
		}
	}
	return fields
}
