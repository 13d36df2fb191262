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

// refusalBody is the body of a response that the host generates itself.
type refusalBody struct {
	Reason  model.Reason `json:"reason"`
	Verdict string       `json:"verdict"`
	Message string       `json:"message"`
}

// refusalResponse is the HTTP status and the message for a reason.
type refusalResponse struct {
	status  int
	message string
}

var refusalResponses = map[model.Reason]refusalResponse{
	model.ReasonNotReady:            {503, "no configuration is in force yet"},
	model.ReasonIsolated:            {503, "this host is cut off from the fleet"},
	model.ReasonKeysUnconfirmed:     {503, "it cannot be told whether the client account key is still valid"},
	model.ReasonStopping:            {503, "this host is stopping"},
	model.ReasonUnusable:            {503, "the configuration of the route or the client account is not usable"},
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
	model.ReasonServersCold:         {503, "the service's servers have just started"},
	model.ReasonDeadlineTooShort:    {504, "the request cannot be done in time"},
	model.ReasonNoServer:            {503, "the service has no usable server"},
	model.ReasonServerFailed:        {502, "the backend server failed"},
	model.ReasonServerWithdrawn:     {503, "the chosen server was taken out of use"},
	model.ReasonTimedOut:            {504, "the deadline passed"},
	model.ReasonBadAnswer:           {502, "the backend server's answer was not valid"},
	model.ReasonCallerLeft:          {503, "the caller has left"},
	model.ReasonTooLarge:            {413, "the request is too large"},
	model.ReasonMalformed:           {400, "the request is not valid"},
	model.ReasonInternal:            {500, "internal error"},
}

// refusalFor returns the response for a reason. An unknown reason is an internal
// error.
func refusalFor(reason model.Reason) refusalResponse {
	response, ok := refusalResponses[reason]
	if !ok {
		return refusalResponses[model.ReasonInternal]
	}
	return response
}

// refuse executes effect.Refuse.
func (x *exchange) refuse(e effect.Refuse) {
	if e.ForMemory {
		x.frontend.memoryRefused.Add(1)
	}
	if e.RetryAfter > 0 {
		x.ctx.Response.Header.Set(wire.RetryAfter, formatRetryAfter(x.dialect(), e.RetryAfter))
	}
	x.writeRefusal(e.Reason, e.Verdict, refusalFor(e.Reason))
	x.beginDelivery(len(x.ctx.Response.Body()), nil)
}

// formatRetryAfter returns the value of a Retry-After field: a number of
// seconds, rounded up so that no caller retries too early.
func formatRetryAfter(dialect *wire.Dialect, d model.Instant) string {
	if dialect.FractionalSeconds {
		ms := (time.Duration(d) + time.Millisecond - 1) / time.Millisecond
		return strconv.FormatFloat(float64(ms)/1000, 'f', 3, 64)
	}
	whole := (time.Duration(d) + time.Second - 1) / time.Second
	return strconv.FormatInt(int64(whole), 10)
}

// refuseStopping refuses a request for which no effect will come, because the
// control loop has ended.
func (x *exchange) refuseStopping() {
	x.attempts.close()
	x.frontend.unregister(x)
	x.writeRefusal(model.ReasonStopping, x.attempts.verdict(), refusalFor(model.ReasonStopping))
}

// refuseInternal responds with an internal error to a request whose effect
// cannot be executed.
func (x *exchange) refuseInternal() {
	x.writeRefusal(model.ReasonInternal, x.attempts.verdict(), refusalFor(model.ReasonInternal))
	x.beginDelivery(len(x.ctx.Response.Body()), nil)
}

// refuseInvalid refuses a request before the reducer sees it. It closes the
// connection, because the start of the next request on it may be ambiguous.
func (x *exchange) refuseInvalid(reqErr *requestError) {
	x.frontend.rejectedUnread.Add(1)
	x.writeRefusal(reqErr.reason, model.NotRun, refusalResponse{reqErr.status, reqErr.message})
	x.ctx.SetConnectionClose()
	if caller, ok := x.ctx.Conn().(*callerConn); ok {
		caller.isAnswering.Store(true)
	}
}

func (x *exchange) writeRefusal(reason model.Reason, verdict model.Verdict, response refusalResponse) {
	body, err := json.Marshal(refusalBody{reason, verdict.String(), response.message})
	if err != nil {
		body = nil
	}
	status := x.dialect().RefusalStatus(response.status, verdict)
	x.ctx.SetStatusCode(status)
	x.ctx.SetContentType("application/json")
	if status == fasthttp.StatusUnauthorized {
		x.ctx.Response.Header.Set("WWW-Authenticate", "Bearer")
	}
	x.setFleetFields(verdict)
	x.ctx.SetBody(body)
}

// handleReadError refuses a request that fasthttp could not read.
func (f *Frontend) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	x := &exchange{frontend: f, ctx: ctx}
	x.id, x.externalID = f.nextID()
	x.refuseInvalid(classifyReadError(err))
}

// classifyReadError returns the status, reason and message for an error of
// reading a request.
func classifyReadError(err error) *requestError {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.As(err, &small):
		return &requestError{431, model.ReasonTooLarge, "the request's header is too large"}
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return &requestError{413, model.ReasonTooLarge, "the request's body is too large"}
	case errors.As(err, &network) && network.Timeout():
		return &requestError{408, model.ReasonTimedOut, "the request did not arrive in time"}
	default:
		return malformed("the request cannot be parsed")
	}
}
