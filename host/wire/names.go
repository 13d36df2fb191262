package wire

// The fleet's header fields.
const (
	// Prefix begins the name of every field of the fleet's own.
	Prefix = "Pollensail-"
	// Verdict tells a caller whether its request may have run.
	Verdict = "Pollensail-Verdict"
	// RequestID names one request; a backend server echoes it.
	RequestID = "Pollensail-Request-Id"
	// Timeout is the time that is left for a request, such as "800ms".
	Timeout = "Pollensail-Timeout"
	// Shed is ShedNotRun in a 503 answer to a request that was not run.
	Shed = "Pollensail-Shed"
	// ServerState is StateDraining in the answers of a server that leaves.
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
	// Replayed marks an answer that was retained from the key's first use.
	Replayed   = "Idempotency-Replayed"
	RetryAfter = "Retry-After"
)
