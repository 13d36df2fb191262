package frontend

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

// refusal is the body of an answer that the fleet gives itself.
type refusal struct {
	Reason  model.Reason `json:"reason"`
	Verdict string       `json:"verdict"`
	Message string       `json:"message"`
}

// answerTo is the status and the message of a reason.
type answerTo struct {
	status  int
	message string
}

var answersTo = map[model.Reason]answerTo{
	model.ReasonNotReady:            {503, "no configuration is in force yet"},
	model.ReasonIsolated:            {503, "this host is cut off from the fleet"},
	model.ReasonKeysUnconfirmed:     {503, "it cannot be told whether the client account key is still valid"},
	model.ReasonStopping:            {503, "this host is stopping"},
	model.ReasonNoRoute:             {404, "no route matches the path"},
	model.ReasonMethod:              {405, "the route does not allow the method"},
	model.ReasonKeyMissing:          {401, "the route needs a client account key"},
	model.ReasonKeyUnknown:          {401, "the client account key is not valid"},
	model.ReasonAccountRoute:        {403, "the client account may not use the route"},
	model.ReasonOverRate:            {429, "the client account is over its rate"},
	model.ReasonTokensUnavailable:   {503, "the client account's rate cannot be checked"},
	model.ReasonIdempotencyMissing:  {400, "the route needs an Idempotency-Key"},
	model.ReasonIdempotencyInvalid:  {400, "the Idempotency-Key is no current UUIDv7"},
	model.ReasonIdempotencyMismatch: {422, "the Idempotency-Key was used for another request"},
	model.ReasonIdempotencyUnknown:  {409, "an earlier use of the Idempotency-Key may have run"},
	model.ReasonIdempotencyOwner:    {503, "the Idempotency-Key cannot be checked"},
	model.ReasonAnswerNotRetained:   {409, "the request ran earlier and its answer is not retained"},
	model.ReasonOverloaded:          {503, "the service is overloaded"},
	model.ReasonDeadlineTooShort:    {504, "the request cannot be done in time"},
	model.ReasonNoServer:            {503, "the service has no usable server"},
	model.ReasonServerFailed:        {502, "the backend server failed"},
	model.ReasonTimedOut:            {504, "the deadline passed"},
	model.ReasonBadAnswer:           {502, "the backend server's answer was not valid"},
	model.ReasonCallerLeft:          {503, "the caller has left"},
	model.ReasonTooLarge:            {413, "the request is too large"},
	model.ReasonMalformed:           {400, "the request is not valid"},
	model.ReasonInternal:            {500, "internal error"},
}

// answerOf returns the answer to a reason, an internal error for an unknown
// one.
func answerOf(reason model.Reason) answerTo {
	answer, ok := answersTo[reason]
	if !ok {
		return answersTo[model.ReasonInternal]
	}
	return answer
}

// refuse carries out effect.Refuse.
func (x *exchange) refuse(e effect.Refuse) {
	x.releaseAnswer()
	if e.RetryAfter > 0 {
		x.ctx.Response.Header.Set(wire.RetryAfter, seconds(x.dialect(), e.RetryAfter))
	}
	x.writeRefusal(e.Reason, e.Verdict, answerOf(e.Reason))
	x.expect(len(x.ctx.Response.Body()), nil)
}

// seconds rounds up, so that no caller comes back too early.
func seconds(dialect *wire.Dialect, d model.Instant) string {
	if dialect.FractionalSeconds {
		ms := (time.Duration(d) + time.Millisecond - 1) / time.Millisecond
		return strconv.FormatFloat(float64(ms)/1000, 'f', 3, 64)
	}
	whole := (time.Duration(d) + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(whole), 10)
}

// refuseStopping answers a request for which no effect will come.
func (x *exchange) refuseStopping() {
	x.releaseAnswer()
	x.frontend.unregister(x)
	x.writeRefusal(model.ReasonStopping, x.verdict, answerOf(model.ReasonStopping))
}

// refuseInternal answers after an effect that cannot be carried out.
func (x *exchange) refuseInternal() {
	x.writeRefusal(model.ReasonInternal, x.verdict, answerOf(model.ReasonInternal))
	x.expect(len(x.ctx.Response.Body()), nil)
}

// refuseUnread answers a request that the reducer never sees. The connection
// closes, because the next request may not begin where it seems to.
func (x *exchange) refuseUnread(bad *badRequest) {
	x.frontend.rejected.Add(1)
	x.writeRefusal(bad.reason, model.NotRun, answerTo{bad.status, bad.message})
	x.ctx.SetConnectionClose()
	if caller, ok := x.ctx.Conn().(*callerConn); ok {
		caller.lingering = true
	}
}

func (x *exchange) writeRefusal(reason model.Reason, verdict model.Verdict, answer answerTo) {
	body, err := json.Marshal(refusal{reason, verdict.String(), answer.message})
	if err != nil {
		body = nil
	}
	status := x.dialect().Status(answer.status, verdict)
	x.ctx.SetStatusCode(status)
	x.ctx.SetContentType("application/json")
	if status == fasthttp.StatusUnauthorized {
		x.ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	x.setOwnFields(verdict)
	x.ctx.SetBody(body)
}

// handleUnreadable answers a request that could not be read.
func (f *Frontend) handleUnreadable(ctx *fasthttp.RequestCtx, err error) {
	x := &exchange{frontend: f, ctx: ctx}
	x.id, x.name = f.nextID()
	x.refuseUnread(badRead(err))
}

// badRead tells apart why a request could not be read.
func badRead(err error) *badRequest {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		return &badRequest{431, model.ReasonTooLarge, "the request's header is too large"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &badRequest{413, model.ReasonTooLarge, "the request's body is too large"}
	case errors.As(err, &network) && network.Timeout():
		return &badRequest{408, model.ReasonTimedOut, "the request did not arrive in time"}
	default:
		return malformed("the request cannot be parsed")
	}
}
