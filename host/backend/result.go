package backend

import (
	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

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
	if answer.Response.ConnectionClose() || e.writeError != nil {
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
