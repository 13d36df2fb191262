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
		Draining:  e.dialect().IsDraining(header),
		Latency:   e.latency(),
		Streaming: answer.Streaming(),
	}
	if load, err := e.dialect().ParseLoad(string(header.Peek(e.dialect().Load))); err == nil {
		result.InFlight = load.InFlight
		result.Slots = load.Slots
	}
	if !answer.Streaming() {
		e.giveBack(answer)
	}
	if e.isShed(header) {
		result.Verdict = model.NotRun
		result.Shed = true
		result.IsOther = e.dialect().IsOther(header)
		result.Streaming = false
		answer.Release()
		return result, nil
	}
	if e.dialect().IsDoubtful(header) {
		answer.Release()
		result.Verdict, result.Reason, result.Streaming = model.MayHaveRun, model.ReasonBadAnswer, false
		return result, nil
	}
	result.Answer = e.retain(answer)
	return result, answer
}

func (e *exchange) dialect() *wire.Dialect { return &e.transport.options.Dialect }

func (e *exchange) isShed(h *fasthttp.ResponseHeader) bool { return e.dialect().IsNotRun(h) }

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
		Header: endToEnd(e.dialect(), &answer.Response.Header),
		Body:   append([]byte(nil), answer.Response.Body()...),
	}
	if retained.Size() > limit {
		return nil
	}
	return retained
}

// endToEnd copies the fields that are passed on.
func endToEnd(d *wire.Dialect, h *fasthttp.ResponseHeader) []model.Field {
	listed := wire.ConnectionOf(h.All())
	var fields []model.Field
	for name, value := range h.All() {
		if listed.IsEndToEnd(d, name) {
			fields = append(fields, model.Field{Name: string(name), Value: string(value)})
		}
	}
	return fields
}
