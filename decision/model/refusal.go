package model

// Reason is why the fleet responds to a request itself, without a complete
// response of a backend server.
type Reason string

// Front ends map each reason to a status of their protocol.
const (
	ReasonNotReady            Reason = "not_ready"            // no configuration in force yet
	ReasonIsolated            Reason = "isolated"             // neither the store nor a majority of hosts is reachable
	ReasonKeysUnconfirmed     Reason = "keys_unconfirmed"     // no recent enough proof that the keys are current
	ReasonStopping            Reason = "stopping"             // planned stop; new requests are rejected
	ReasonUnusable            Reason = "unusable_object"      // a setting of the route or the account is invalid
	ReasonNoRoute             Reason = "no_route"             // no route matches the path
	ReasonMethod              Reason = "method_not_allowed"   // the route does not allow the method
	ReasonKeyMissing          Reason = "key_missing"          // the route needs an API key
	ReasonKeyUnknown          Reason = "key_unknown"          // no account has this key, or it was revoked
	ReasonAccountRoute        Reason = "account_not_allowed"  // the account may not use the route
	ReasonOverRate            Reason = "over_rate"            // the account's token bucket is empty
	ReasonTokensUnavailable   Reason = "tokens_unavailable"   // no owner of the account's token bucket replies
	ReasonIdempotencyMissing  Reason = "idempotency_missing"  // the route needs an Idempotency-Key
	ReasonIdempotencyInvalid  Reason = "idempotency_invalid"  // the key is not a UUIDv7, or its time is in the future
	ReasonIdempotencyMismatch Reason = "idempotency_mismatch" // the key was used for another request
	ReasonIdempotencyUnknown  Reason = "idempotency_unknown"  // an earlier request with the key may have run
	ReasonIdempotencyOwner    Reason = "idempotency_no_owner" // no owner of the key's slot replies
	ReasonAnswerNotRetained   Reason = "answer_not_retained"  // ran earlier; its response is no longer retained
	ReasonOverloaded          Reason = "overloaded"           // the service's concurrency limit and queue are full
	ReasonServersCold         Reason = "servers_cold"         // all usable servers are cold and get no more requests now
	ReasonDeadlineTooShort    Reason = "deadline_too_short"   // cannot finish before the deadline
	ReasonNoServer            Reason = "no_server"            // the service has no usable server
	ReasonServerFailed        Reason = "server_failed"        // the attempt failed
	ReasonServerWithdrawn     Reason = "server_withdrawn"     // the server was taken out of use before the attempt was sent
	ReasonTimedOut            Reason = "timed_out"            // the deadline passed
	ReasonBadAnswer           Reason = "bad_answer"           // truncated response, or that of another request
	ReasonCallerLeft          Reason = "caller_left"          // the caller closed its connection
	ReasonTooLarge            Reason = "too_large"            // exceeds a size limit of the front end
	ReasonMalformed           Reason = "malformed"            // not a valid request
	ReasonInternal            Reason = "internal"             // internal error of this process
)

// TokenCause is why a request that ended with ReasonTokensUnavailable got no token.
type TokenCause string

// The values are used in logs.
const (
	CauseOwnerUnknown TokenCause = "owner_unknown" // no host owns a share of the account's limit
	CauseNoAnswer     TokenCause = "no_answer"     // an owner does not answer
	CauseShareEmpty   TokenCause = "share_empty"   // the shares are empty whose owners answer, and one is missing
	CauseWaitersFull  TokenCause = "waiters_full"  // too many requests of the account wait at this host
)

// Result is how a request ended for its caller.
type Result string

// Late applies to responses that were complete but not accepted by the caller
// before the deadline.
const (
	Delivered Result = "delivered"
	Late      Result = "late"
	Failed    Result = "failed"
	Refused   Result = "refused"
)

// NoRetry is why a request whose attempt failed was not sent again.
type NoRetry string

// The values are used in logs.
const (
	NoRetryMayHaveRun  NoRetry = "may_have_run" // and is not idempotent
	NoRetryMaxAttempts NoRetry = "attempts"     // as many as its route allows
	NoRetryNoServer    NoRetry = "no_server"    // no other server may get it
	NoRetryBudget      NoRetry = "retry_budget" // the service's retry budget is spent
	NoRetryTime        NoRetry = "time"         // too little is left until the deadline
	NoRetryCallerLeft  NoRetry = "caller_left"  // nobody waits for the answer
	NoRetryKey         NoRetry = "key"          // the request's key is no longer accepted
	NoRetryStopping    NoRetry = "stopping"     // the process is killed before it could end
	NoRetryResult      NoRetry = "result"       // another server would give the same
)

// Outcome is the record of one finished request, for logs and metrics.
type Outcome struct {
	Request  RequestID
	Name     string // the request ID that callers and servers see
	Account  AccountID
	Route    RouteID
	Service  ServiceID
	Server   ServerID
	Class    Class
	Verdict  Verdict
	Result   Result
	Reason   Reason // empty unless Refused or Failed
	Attempts int
	Latency  Instant // nanoseconds from arrival to the end
	// NoRetry says why a failed request was not sent to another server; empty for
	// other requests.
	NoRetry NoRetry
	// TokenCause says why there was no token; empty unless Reason is
	// ReasonTokensUnavailable.
	TokenCause TokenCause
	// Tried lists the servers of ended and of late attempts, in the order in which they
	// ended or were late.
	Tried []ServerID
	// Cancelled lists, in order, the servers of attempts that this host cancelled
	// before the server had answered or failed. They may have been at work.
	Cancelled []ServerID
	// Status is the status of the response in the protocol of the front end; 0 if
	// nothing was sent to the caller.
	Status int
	// Complete says that the whole response was written to the caller's connection.
	Complete bool
	// CallerLeft says that the caller closed its connection, or the half on which it
	// sends, before it had a response.
	CallerLeft bool
	// Stopping says that this host was in a planned stop at the end. Uptime, in
	// nanoseconds, is how long its process had run.
	Stopping bool
	Uptime   Instant
	// Version is the configuration in force at the end. ConfigAge, in
	// nanoseconds, is the age of the proof that it is the newest; negative if
	// there is no proof.
	Version   uint64
	ConfigAge Instant
	// SuccessProbability is the estimated probability, when Server was chosen,
	// that it was healthy.
	SuccessProbability float64
	// IsProbe says that Server was chosen although it was suspected, to find out
	// whether it has recovered, because the floor requires it.
	// ServiceShort says that this host then held the service to be short.
	IsProbe      bool
	ServiceShort bool
}

// StopSummary counts the requests of a planned stop, for logs.
type StopSummary struct {
	InFlight int // when the stop began
	Arrived  int // after that
	// Incomplete counts those whose response was not written completely, also
	// because their callers had left.
	Incomplete int
	// Replaced counts those that got a response of the host after it had cancelled
	// an attempt at a server that may have been at work.
	Replaced int
}
