package wire

import (
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/model"
)

// Dialect is how the fleet's own fields and statuses are spelled towards
// callers and backend servers. Own returns the product's. An empty name of a
// field means that there is no such field.
type Dialect struct {
	// RequestID names one request; a backend server echoes it.
	RequestID string
	// KeepsRequestID says that a caller's own id is passed on.
	KeepsRequestID bool
	// Timeout is the time that is left for a request.
	Timeout       string
	ParseTimeout  func(string) (time.Duration, error)
	AppendTimeout func([]byte, time.Duration) []byte
	// APIKey carries a client account key beside Authorization.
	APIKey string
	// Account tells a server the name of the client account.
	Account string
	// Identity tells a server which identity is expected at its address.
	Identity string
	// Verdict tells a caller whether its request may have run.
	Verdict string
	// Load is the load of a backend server.
	Load      string
	ParseLoad func(string) (ServerLoad, error)
	// IsNotRun reports whether a server says that it did not run the request.
	IsNotRun func(*fasthttp.ResponseHeader) bool
	// IsOther reports whether another server than the expected one answered,
	// without running the request.
	IsOther func(*fasthttp.ResponseHeader) bool
	// IsDoubtful reports whether an answer that does not say so would be
	// understood by callers as if the request had not run.
	IsDoubtful func(*fasthttp.ResponseHeader) bool
	// IsDraining reports whether a server says that it is leaving.
	IsDraining func(*fasthttp.ResponseHeader) bool
	// IsOwn reports whether a field is one that neither side may set for the
	// other.
	IsOwn func(field []byte) bool
	// Status returns the status for a refusal, given the product's own.
	Status func(status int, verdict model.Verdict) int
	// FractionalSeconds says that Retry-After may have a fraction.
	FractionalSeconds bool
}

// Own returns the product's own dialect.
func Own() Dialect {
	return Dialect{
		RequestID:     RequestID,
		Timeout:       Timeout,
		ParseTimeout:  ParseTimeout,
		AppendTimeout: AppendTimeout,
		APIKey:        APIKey,
		Verdict:       Verdict,
		Load:          Load,
		ParseLoad:     ParseLoad,
		IsNotRun:      isOwnShed,
		IsOther:       func(*fasthttp.ResponseHeader) bool { return false },
		IsDoubtful:    func(*fasthttp.ResponseHeader) bool { return false },
		IsDraining:    isOwnDraining,
		IsOwn:         IsOwn,
		Status:        func(status int, _ model.Verdict) int { return status },
	}
}

// OrOwn returns the dialect, or the product's own for the zero value.
func (d Dialect) OrOwn() Dialect {
	if d.RequestID == "" {
		return Own()
	}
	return d
}

func isOwnShed(h *fasthttp.ResponseHeader) bool {
	return h.StatusCode() == fasthttp.StatusServiceUnavailable && string(h.Peek(Shed)) == ShedNotRun
}

func isOwnDraining(h *fasthttp.ResponseHeader) bool {
	return string(h.Peek(ServerState)) == StateDraining
}
