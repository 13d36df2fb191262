package model

// Reason says why the fleet answers a request itself.
type Reason string

// The reasons. Front ends map each to a status of their protocol.
const (
	ReasonNotReady            Reason = "not_ready"            // no configuration in force yet
	ReasonIsolated            Reason = "isolated"             // neither store nor most hosts are heard
	ReasonKeysUnconfirmed     Reason = "keys_unconfirmed"     // no proof, young enough, that the keys are the newest
	ReasonStopping            Reason = "stopping"             // planned stop, no new work
	ReasonNoRoute             Reason = "no_route"             // no route matches the path
	ReasonMethod              Reason = "method_not_allowed"   // the route does not allow the method
	ReasonKeyMissing          Reason = "key_missing"          // the route needs a key
	ReasonKeyUnknown          Reason = "key_unknown"          // no account has this key, or it was withdrawn
	ReasonAccountRoute        Reason = "account_not_allowed"  // the account may not use the route
	ReasonOverRate            Reason = "over_rate"            // the account's tokens are spent
	ReasonTokensUnavailable   Reason = "tokens_unavailable"   // no owner of the account's tokens answers
	ReasonIdempotencyMissing  Reason = "idempotency_missing"  // the route needs an Idempotency-Key
	ReasonIdempotencyInvalid  Reason = "idempotency_invalid"  // the key is no UUIDv7, or from the future
	ReasonIdempotencyMismatch Reason = "idempotency_mismatch" // the key was used for another request
	ReasonIdempotencyUnknown  Reason = "idempotency_unknown"  // an earlier use may have run
	ReasonIdempotencyOwner    Reason = "idempotency_no_owner" // no owner of the key answers
	ReasonAnswerNotRetained   Reason = "answer_not_retained"  // ran earlier, the answer is gone
	ReasonOverloaded          Reason = "overloaded"           // bulkhead and queue are full
	ReasonDeadlineTooShort    Reason = "deadline_too_short"   // cannot be done in time
	ReasonNoServer            Reason = "no_server"            // the service has no usable server
	ReasonServerFailed        Reason = "server_failed"        // the attempt failed
	ReasonTimedOut            Reason = "timed_out"            // the deadline passed
	ReasonBadAnswer           Reason = "bad_answer"           // truncated or crossed answer
	ReasonCallerLeft          Reason = "caller_left"          // the caller closed its connection
	ReasonTooLarge            Reason = "too_large"            // a size limit of the front end
	ReasonMalformed           Reason = "malformed"            // not a valid request
	ReasonInternal            Reason = "internal"             // a fault of this process
)

// Result says how a request ended for its caller.
type Result string

// The results. Late applies to answers that were complete but not accepted by
// the caller before the deadline.
const (
	Delivered Result = "delivered"
	Late      Result = "late"
	Failed    Result = "failed"
	Refused   Result = "refused"
)

// Outcome is the record of one finished request, for logs and metrics.
type Outcome struct {
	Request  RequestID
	Name     string // the request's id as callers and servers see it
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
	// Tried are the servers of ended attempts, in order.
	Tried []ServerID
	// Version is the configuration in force at the end, ConfigAge the age of the
	// proof that it is the newest; negative without one.
	Version   uint64
	ConfigAge Instant
	// Trust is the chance that Server is good, as believed when it was chosen.
	Trust float64
}
