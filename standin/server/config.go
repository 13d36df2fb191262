package server

import (
	"fmt"
	"time"
)

// Kind is the kind of work that a server does.
type Kind string

// The kinds of work. Lookup and Filing respond with a small JSON object. Export
// streams at least Size bytes, spread over the time of the work.
const (
	Lookup Kind = "lookup"
	Filing Kind = "filing"
	Export Kind = "export"
)

// ParseKind returns the kind of the given name.
func ParseKind(name string) (Kind, error) {
	switch k := Kind(name); k {
	case Lookup, Filing, Export:
		return k, nil
	}
	return "", fmt.Errorf("kind %q: expected lookup, filing or export", name)
}

// Config is the configuration of a server.
type Config struct {
	Name        string // in the body of responses
	Kind        Kind
	Concurrency int           // requests that run concurrently
	MaxQueued   int           // requests that wait for a slot; more are shed
	ServiceTime time.Duration // time to run one request
	ExportBytes int           // minimum bytes of an export's body
	// ColdStartDuration is the duration of a cold start: after New, and after
	// the fault Cold is switched on, work takes ColdFactor times as long.
	ColdStartDuration time.Duration
	ColdFactor        int
}

// Faults are the injected faults. The zero value means none. Shares are fractions
// from 0 to 1 of the requests, spread evenly over them.
type Faults struct {
	DelayMillis int     `json:"delay_ms"`    // added to the time of each request
	FailShare   float64 `json:"fail_share"`  // run, then status 500
	ResetShare  float64 `json:"reset_share"` // run, then the connection is closed without a response
	ShedShare   float64 `json:"shed_share"`  // refused with 503 and not run
	// RetryAfterMillis is the Retry-After of refused requests; 0: none.
	RetryAfterMillis int     `json:"retry_after_ms"`
	TruncateShare    float64 `json:"truncate_share"` // run, then the response is cut off
	CrossShare       float64 `json:"cross_share"`    // run, then answered with the previous response
	// FlapMillis makes the server alternate between failing all work for this long
	// and failing none for as long.
	FlapMillis int  `json:"flap_ms"`
	Drain      bool `json:"drain"`     // announces that it is draining, but still works
	Cold       bool `json:"cold"`      // begins another cold start when switched on
	Refuse     bool `json:"refuse"`    // the work port refuses connections
	Unhealthy  bool `json:"unhealthy"` // /health fails
}
