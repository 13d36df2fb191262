package frontend

import (
	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/backend"
)

// effectBacklog is how many effects may wait for a request's goroutine. The
// reducer sends the next one only after the event that answers the last.
const effectBacklog = 2

// exchange is one caller's request between its arrival and AnswerSent.
type exchange struct {
	frontend *Frontend
	ctx      *fasthttp.RequestCtx
	id       model.RequestID
	name     string // the id in header fields
	effects  chan effect.Effect
	forward  *fasthttp.Request // what servers get
	verdict  model.Verdict     // of all attempts so far
	answer   *backend.Answer   // of the last attempt, nil without
	delivery delivery          // of the answer to the caller
	watch    *watch            // of the caller; nil where it cannot be watched
}

// Apply implements control.Traffic. It hands the effect to the goroutine of
// its request and does not block.
func (f *Frontend) Apply(e effect.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.requests[requestOf(e)]
	if !ok {
		return
	}
	select {
	case x.effects <- e:
	default:
	}
}

func requestOf(e effect.Effect) model.RequestID {
	switch e := e.(type) {
	case effect.Forward:
		return e.Request
	case effect.Deliver:
		return e.Request
	case effect.Refuse:
		return e.Request
	case effect.Replay:
		return e.Request
	default:
		return 0
	}
}

func (f *Frontend) register(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests[x.id] = x
}

func (f *Frontend) unregister(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, x.id)
}

// handle serves one request up to where its answer is ready to be written.
func (f *Frontend) handle(ctx *fasthttp.RequestCtx) {
	x := &exchange{
		frontend: f,
		ctx:      ctx,
		verdict:  model.NotRun,
		effects:  make(chan effect.Effect, effectBacklog),
	}
	x.id, x.name = f.nextID()
	if name := f.callersID(&ctx.Request.Header); name != "" {
		x.name = name
	}
	if f.stopping.Load() {
		ctx.SetConnectionClose()
	}
	x.forward = fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(x.forward)
	arrived, bad := f.read(x)
	if bad != nil {
		x.refuseUnread(bad)
		return
	}
	x.serve(arrived)
}

// maxRequestID bounds a caller's request id, in bytes.
const maxRequestID = 128

// callersID returns the id that the caller gave its request, empty where it is
// not to be kept.
func (f *Frontend) callersID(h *fasthttp.RequestHeader) string {
	if !f.options.Dialect.KeepsRequestID {
		return ""
	}
	id := h.Peek(f.options.Dialect.RequestID)
	if len(id) > maxRequestID {
		return ""
	}
	return string(id)
}

// serve posts the request and carries out its effects until one of them
// answers it.
func (x *exchange) serve(arrived event.RequestArrived) {
	x.frontend.register(x)
	if !x.frontend.loop.Post(arrived) {
		x.refuseStopping()
		return
	}
	defer x.watchCaller()()
	for {
		e, ok := x.next()
		if !ok {
			x.refuseStopping()
			return
		}
		if x.carryOut(e) {
			return
		}
	}
}

// next waits for an effect. It returns false when none will come.
func (x *exchange) next() (effect.Effect, bool) {
	select {
	case e := <-x.effects:
		return e, true
	case <-x.frontend.abandoned:
	}
	select {
	case e := <-x.effects:
		return e, true
	default:
		return nil, false
	}
}

// carryOut reports whether the effect answered the request.
func (x *exchange) carryOut(e effect.Effect) bool {
	switch e := e.(type) {
	case effect.Forward:
		x.attempt(e)
		return false
	case effect.Deliver:
		x.deliver()
	case effect.Refuse:
		x.refuse(e)
	case effect.Replay:
		x.replay(e.Answer)
	}
	return true
}

// attempt makes one attempt and posts its result.
func (x *exchange) attempt(e effect.Forward) {
	x.releaseAnswer()
	a := backend.Attempt{
		Forward: e,
		ID:      x.name,
		Request: x.forward,
	}
	if x.watch != nil && e.Cancellable {
		a.Cancellation = x.watch.cancellation()
	}
	result, answer := x.frontend.transport.Do(a)
	x.answer = answer
	if result.Verdict != model.NotRun {
		x.verdict = result.Verdict
	}
	x.frontend.loop.Post(event.AttemptEnded{
		Request: x.id,
		Server:  e.Server,
		Result:  result,
	})
}

// watchCaller watches the caller until the function that it returns is called.
func (x *exchange) watchCaller() (stop func()) {
	caller, ok := x.ctx.Conn().(*callerConn)
	if !ok {
		return func() {}
	}
	x.watch = startWatch(caller, func() { x.frontend.loop.Post(event.CallerLeft{Request: x.id}) })
	return x.watch.stop
}

func (x *exchange) releaseAnswer() {
	if x.answer != nil {
		x.answer.Release()
		x.answer = nil
	}
}

// finish ends the exchange once its answer was written or given up.
func (x *exchange) finish(sent event.AnswerSent) {
	x.frontend.unregister(x)
	x.releaseAnswer()
	sent.Request = x.id
	x.frontend.loop.Post(sent)
}
