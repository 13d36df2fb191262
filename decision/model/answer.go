package model

// Answer is a backend server's answer in the form that is retained for
// retries. Header holds the end-to-end fields only.
type Answer struct {
	Status int
	Header []Field
	Body   []byte
}

// Size returns the bytes that the answer occupies, about.
func (a Answer) Size() int {
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// AttemptResult is what a traffic goroutine learned from one attempt at a
// backend server.
type AttemptResult struct {
	Verdict  Verdict
	Status   int    // 0 when no answer arrived
	Reason   Reason // empty when an answer arrived whole
	Shed     bool   // the server refused the request unrun
	Draining bool   // the server said that it is leaving
	// IsOther says that another server than the expected one has the address.
	// The request was not run.
	IsOther bool
	// InFlight and Slots are the load that the server reported; Slots is 0
	// when it reported none.
	InFlight int
	Slots    int
	Latency  Instant // nanoseconds from the first byte written to the end
	// Answer is set where the effect asked to retain it and it fits.
	Answer *Answer
	// Streaming is true when the body still flows to the caller.
	Streaming bool
}
