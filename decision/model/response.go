package model

import "time"

// Response is a backend server's response, retained so that it can be replayed
// for a request that repeats an idempotency key. Header holds the end-to-end
// fields only.
type Response struct {
	Status int
	Header []Field
	Body   []byte
}

// Size returns the approximate size of the response in bytes.
func (r Response) Size() int {
	n := len(r.Body)
	for _, f := range r.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// AttemptResult is the result of sending a request to one backend server.
type AttemptResult struct {
	Verdict  Verdict
	Status   int    // 0 when no response arrived
	Reason   Reason // empty when a complete response arrived
	Shed     bool   // the server rejected the request without running it
	Draining bool   // the server reported that it is shutting down
	// RetryAfter is how long the server asked to get no more requests, when it
	// refused one; 0 if it did not ask. InvalidRetryAfter reports that it asked
	// in a form that cannot be read.
	RetryAfter        time.Duration
	InvalidRetryAfter bool
	// WrongServer reports that the address now belongs to a server other than
	// the expected one. The request was not run.
	WrongServer bool
	// InFlight is the number of requests in progress that the server reported,
	// and ServerConcurrency the number that it processes concurrently, 0 when
	// the server reported no load.
	InFlight int
	// Waiting is how many of these requests wait for a slot, if WaitingKnown.
	Waiting           int
	WaitingKnown      bool
	ServerConcurrency int
	Latency           Instant // nanoseconds from the first byte written to the end
	// Answer is set if the effect asked to retain the response and it fits.
	Answer *Response
	// Streaming is true while the body is still being sent to the caller.
	Streaming bool
}
