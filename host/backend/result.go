package backend

import (
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

// responseResult returns the result of an attempt that received a response. It
// releases the response, and returns nil for it, unless the response is to be
// delivered.
func (e *exchange) responseResult(response *Response) (model.AttemptResult, *Response) {
	header := &response.Response.Header
	result := model.AttemptResult{
		Verdict:   model.Ran,
		Status:    header.StatusCode(),
		Draining:  e.dialect().IsDraining(header),
		Latency:   e.latency(),
		Streaming: response.Streaming(),
	}
	if load, err := e.dialect().ParseLoad(string(header.Peek(e.dialect().Load))); err == nil {
		result.InFlight = load.InFlight
		result.Waiting, result.WaitingKnown = load.Waiting, load.HasWaiting
		result.ServerConcurrency = load.Slots
	}
	result.RetryAfter, result.InvalidRetryAfter = retryAfter(header)
	if !response.Streaming() {
		e.releaseConn(response)
	}
	if e.isShed(header) {
		result.Verdict = model.NotRun
		result.Shed = true
		result.WrongServer = e.dialect().IsMisdirected(header)
		result.Streaming = false
		response.Release()
		return result, nil
	}
	if e.dialect().IsFalseNotRun(header) {
		response.Release()
		result.Verdict, result.Reason, result.Streaming = model.MayHaveRun, model.ReasonBadAnswer, false
		return result, nil
	}
	result.Answer = e.copyRetained(response)
	return result, response
}

// retryAfter returns how long the server of a 503 response asks to get no more
// requests, and whether it asks in a form that cannot be read.
func retryAfter(h *fasthttp.ResponseHeader) (wait time.Duration, isInvalid bool) {
	if h.StatusCode() != fasthttp.StatusServiceUnavailable {
		return 0, false
	}
	values := h.PeekAll(wire.RetryAfter)
	if len(values) == 0 {
		return 0, false
	}
	wait, err := wire.ParseRetryAfter(string(values[0]))
	if err != nil || len(values) > 1 {
		return 0, true
	}
	return wait, false
}

func (e *exchange) dialect() *wire.Dialect { return &e.transport.options.Dialect }

func (e *exchange) isShed(h *fasthttp.ResponseHeader) bool { return e.dialect().IsNotRun(h) }

// releaseConn returns the connection of a completely read response to the pool,
// or closes it if it cannot be reused or its server is shutting down.
func (e *exchange) releaseConn(response *Response) {
	header := &response.Response.Header
	if response.Response.ConnectionClose() || e.writeError != nil || e.dialect().IsDraining(header) {
		e.conn.close()
		return
	}
	e.transport.putIdleConn(e.conn)
}

// copyRetained returns a copy of the response for replay to retried requests. It
// returns nil if the effect requests none or the response exceeds its limit.
func (e *exchange) copyRetained(response *Response) *model.Response {
	limit := e.Forward.MaxRetainedBytes
	if limit <= 0 || response.Streaming() || len(response.Response.Body()) > limit {
		return nil
	}
	retained := &model.Response{
		Status: response.Response.StatusCode(),
		Header: endToEndFields(e.dialect(), &response.Response.Header),
		Body:   append([]byte(nil), response.Response.Body()...),
	}
	if retained.Size() > limit {
		return nil
	}
	return retained
}

// endToEndFields returns a copy of the end-to-end header fields.
func endToEndFields(d *wire.Dialect, h *fasthttp.ResponseHeader) []model.Field {
	listed := wire.ParseConnectionOptions(h.All())
	var fields []model.Field
	for name, value := range h.All() {
		if listed.IsEndToEnd(d, name) {
			fields = append(fields, model.Field{Name: string(name), Value: string(value)})
		}
	}
	return fields
}
