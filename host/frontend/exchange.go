package frontend

import (
	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/backend"
)

// exchange is the state of one caller's request, from its arrival until
// event.ResponseSent.
type exchange struct {
	frontend    *Frontend
	ctx         *fasthttp.RequestCtx
	id          model.RequestID
	externalID  string // the request ID in header fields
	effects     effectQueue
	outbound    *fasthttp.Request // the request as it is sent to servers
	attempts    attemptSet        // at servers
	delivery    delivery          // of the response to the caller
	callerWatch *callerWatch      // nil if the connection cannot be watched
	body        *body             // of the request; nil once handle has ended
	isReceiving bool              // the body is being read; guarded by frontend.mu
	refusal     effect.Refuse     // of a request whose body was not read to its end
}

// Apply implements control.Traffic. It passes the effect to the goroutine of
// its request and does not block.
func (f *Frontend) Apply(e effect.Effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.requests[requestOf(e)]
	if !ok {
		return
	}
	switch e := e.(type) {
	case effect.CancelAttempt:
		x.attempts.cancel(e.Attempt)
	case effect.WithdrawUnsent:
		x.attempts.withdrawal(e.Attempt).Store(true)
	case effect.Refuse:
		x.effects.push(e)
		x.interruptBody()
	default:
		x.effects.push(e)
	}
}

func requestOf(e effect.Effect) model.RequestID {
	switch e := e.(type) {
	case effect.Forward:
		return e.Request
	case effect.CancelAttempt:
		return e.Request
	case effect.WithdrawUnsent:
		return e.Request
	case effect.Deliver:
		return e.Request
	case effect.Refuse:
		return e.Request
	case effect.Replay:
		return e.Request
	case effect.GrantMemory:
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

// handle serves one request. fasthttp writes the response after it returns.
func (f *Frontend) handle(ctx *fasthttp.RequestCtx) {
	x := &exchange{
		frontend: f,
		ctx:      ctx,
		effects:  newEffectQueue(),
		body:     new(body),
	}
	x.body.users.Store(1)
	defer x.releaseBody()
	if caller, ok := ctx.Conn().(*callerConn); ok && !caller.beginRequest() {
		return // a pipelined request on a connection that was closed
	}
	x.id, x.externalID = f.nextID()
	if name := f.callerRequestID(&ctx.Request.Header); name != "" {
		x.externalID = name
	}
	if f.stopping.Load() {
		ctx.SetConnectionClose()
	}
	x.outbound = fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(x.outbound)
	arrived, target, key, reqErr := f.parseRequest(x)
	if reqErr == nil {
		if !x.receiveBody() {
			return
		}
		reqErr = x.buildForward(target, key)
	}
	if reqErr != nil {
		f.unregister(x)
		x.refuseInvalid(reqErr)
		return
	}
	arrived.Fingerprint = requestFingerprint(x.outbound, x.body)
	x.serve(arrived)
}

// maxRequestIDBytes is the maximum length of a request ID from a caller.
const maxRequestIDBytes = 128

// callerRequestID returns the request ID that the caller sent. It is empty if
// the dialect does not forward such IDs or if the ID is too long.
func (f *Frontend) callerRequestID(h *fasthttp.RequestHeader) string {
	if !f.options.Dialect.ForwardsRequestID {
		return ""
	}
	id := h.Peek(f.options.Dialect.RequestID)
	if len(id) > maxRequestIDBytes {
		return ""
	}
	return string(id)
}

// serve posts the request to the control loop and executes its effects until
// one of them responds to the caller.
func (x *exchange) serve(arrived event.RequestArrived) {
	x.frontend.register(x)
	if !x.frontend.loop.Post(arrived) {
		x.refuseStopping()
		return
	}
	defer x.watchCaller()()
	for {
		e, ok := x.nextEffect()
		if !ok {
			x.refuseStopping()
			return
		}
		if x.execute(e) {
			return
		}
	}
}

// nextEffect waits for an effect. It returns false if none will come, because
// the control loop has ended.
func (x *exchange) nextEffect() (effect.Effect, bool) {
	for {
		if e, ok := x.effects.pop(); ok {
			return e, true
		}
		select {
		case <-x.effects.ready:
		case <-x.frontend.loopEnded:
			return x.effects.pop()
		}
	}
}

// execute executes an effect and reports whether it responded to the caller.
func (x *exchange) execute(e effect.Effect) bool {
	switch e := e.(type) {
	case effect.Forward:
		x.forward(e)
		return false
	case effect.Deliver:
		x.deliver(e.Attempt)
	case effect.Refuse:
		x.refuse(e)
	case effect.Replay:
		x.replay(e.Answer)
	}
	return true
}

// forward makes an attempt at a backend server. One that can be cancelled runs in a
// goroutine of its own, because another one may be started meanwhile.
func (x *exchange) forward(e effect.Forward) {
	a := backend.Attempt{
		Forward:   e,
		RequestID: x.externalID,
		Request:   x.outbound,
		Written:   &x.attempts.written,
		Withdrawn: x.attempts.withdrawal(e.Attempt),
		BodyRest:  x.body.rest(),
	}
	if !e.Cancellable {
		x.makeAttempt(a)
		return
	}
	a.Cancellation = x.newCancellation(e.Attempt)
	a.Request = fasthttp.AcquireRequest()
	x.outbound.CopyTo(a.Request) // the attempt may outlast the exchange
	body := x.body
	body.users.Add(1)
	go func() {
		defer x.frontend.releaseBody(x.id, body)
		defer fasthttp.ReleaseRequest(a.Request)
		x.makeAttempt(a)
	}()
}

// makeAttempt makes one attempt at a backend server and posts its result.
func (x *exchange) makeAttempt(a backend.Attempt) {
	result, response := x.frontend.transport.Do(a)
	x.attempts.end(a.Forward.Attempt, result.Verdict, response)
	x.frontend.loop.Post(event.AttemptEnded{
		Request: x.id,
		Attempt: a.Forward.Attempt,
		Server:  a.Forward.Server,
		Result:  result,
	})
}

// newCancellation returns the Cancellation of an attempt. It is cancelled when the
// caller disconnects, or by effect.CancelAttempt.
func (x *exchange) newCancellation(attempt int) *backend.Cancellation {
	c := x.attempts.begin(attempt)
	if x.callerWatch != nil {
		x.callerWatch.add(c)
	}
	return c
}

// watchCaller watches for a disconnect of the caller until stop is called.
func (x *exchange) watchCaller() (stop func()) {
	caller, ok := x.ctx.Conn().(*callerConn)
	if !ok {
		return func() {}
	}
	x.callerWatch = startWatch(caller, func() { x.frontend.loop.Post(event.CallerLeft{Request: x.id}) })
	return x.callerWatch.stop
}

// finish ends the exchange after its response was written or its delivery has
// failed.
func (x *exchange) finish(sent event.ResponseSent) {
	x.frontend.unregister(x)
	x.attempts.close()
	sent.Request = x.id
	x.frontend.loop.Post(sent)
}
