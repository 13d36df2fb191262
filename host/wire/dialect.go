package wire

import (
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/model"
)

// Dialect describes the header fields and statuses that callers and backend
// servers of a platform use for the fleet's own data. An empty field name means
// that the dialect has no such field.
type Dialect struct {
	// RequestID identifies one request; a backend server echoes it.
	RequestID string
	// ForwardsRequestID says that an ID set by the caller is forwarded.
	ForwardsRequestID bool
	// Timeout is the time that remains for a request.
	Timeout       string
	ParseTimeout  func(string) (time.Duration, error)
	AppendTimeout func([]byte, time.Duration) []byte
	// APIKey carries the API key of a client account, as an alternative to
	// Authorization.
	APIKey string
	// Account tells a server the name of the client account.
	Account string
	// ExpectedIdentity tells a server which identity the fleet expects at its
	// address.
	ExpectedIdentity string
	// Verdict tells a caller whether its request may have run.
	Verdict string
	// Load is the load of a backend server.
	Load      string
	ParseLoad func(string) (ServerLoad, error)
	// IsNotRun reports whether a server states that it did not run the request.
	IsNotRun func(*fasthttp.ResponseHeader) bool
	// IsMisdirected reports whether the response came from another server than
	// the expected one, which did not run the request.
	IsMisdirected func(*fasthttp.ResponseHeader) bool
	// IsFalseNotRun reports whether callers would infer from the response's
	// status that the request has not run. It is called only for responses for
	// which IsNotRun is false.
	IsFalseNotRun func(*fasthttp.ResponseHeader) bool
	// IsDraining reports whether a server states that it is draining.
	IsDraining func(*fasthttp.ResponseHeader) bool
	// IsReserved reports whether a field is reserved for the fleet: it is not
	// forwarded between callers and servers.
	IsReserved func(field []byte) bool
	// RefusalStatus maps the default dialect's status of a refusal to this
	// dialect's.
	RefusalStatus func(status int, verdict model.Verdict) int
	// FractionalSeconds says that Retry-After may have a fraction of a second.
	FractionalSeconds bool
}

// DefaultDialect returns the default dialect, which is used without a platform.
func DefaultDialect() Dialect {
	return Dialect{
		RequestID:     RequestID,
		Timeout:       Timeout,
		ParseTimeout:  ParseTimeout,
		AppendTimeout: AppendTimeout,
		APIKey:        APIKey,
		Verdict:       Verdict,
		Load:          Load,
		ParseLoad:     ParseLoad,
		IsNotRun:      isShedNotRun,
		IsMisdirected: func(*fasthttp.ResponseHeader) bool { return false },
		IsFalseNotRun: func(*fasthttp.ResponseHeader) bool { return false },
		IsDraining:    isDraining,
		IsReserved:    IsReserved,
		RefusalStatus: func(status int, _ model.Verdict) int { return status },
	}
}

// OrDefault returns the dialect, or the default dialect for the zero value.
func (d Dialect) OrDefault() Dialect {
	if d.RequestID == "" {
		return DefaultDialect()
	}
	return d
}

func isShedNotRun(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusServiceUnavailable && string(h.Peek(Shed)) == ShedNotRun
}

func isDraining(h *fasthttp.ResponseHeader) bool {
	return string(h.Peek(ServerState)) == StateDraining
}
