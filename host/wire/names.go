package wire

// The names of the fleet's header fields.
const (
	// Prefix is the common prefix of the fleet's header fields.
	Prefix = "Pollensail-"
	// Verdict tells a caller whether its request may have run.
	Verdict = "Pollensail-Verdict"
	// RequestID identifies one request; a backend server echoes it.
	RequestID = "Pollensail-Request-Id"
	// Timeout is the time that remains for a request, such as "800ms".
	Timeout = "Pollensail-Timeout"
	// Shed is ShedNotRun in a 503 response to a request that was not run.
	Shed = "Pollensail-Shed"
	// ServerState is StateDraining in the responses of a draining server.
	ServerState = "Pollensail-Server-State"
	// Load is the load of a backend server, "<inflight>/<slots>".
	Load = "Pollensail-Load"
)

// Values of the fleet's header fields.
const (
	ShedNotRun    = "not-run"
	StateDraining = "draining"
)

// Header fields of other specifications.
const (
	Authorization  = "Authorization"
	APIKey         = "X-Api-Key"
	IdempotencyKey = "Idempotency-Key"
	// IdempotencyReplayed marks a response that was stored at the first use of
	// the idempotency key.
	IdempotencyReplayed = "Idempotency-Replayed"
	RetryAfter          = "Retry-After"
)
