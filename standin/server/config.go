package server

import (
	"fmt"
	"time"
)

// Kind is the kind of work of a server.
type Kind string

// The kinds. Lookup and Filing answer with a small JSON object, Export streams
// Size bytes over the time of the work.
const (
	Lookup Kind = "lookup"
	Filing Kind = "filing"
	Export Kind = "export"
)

// ParseKind returns the kind with a name.
func ParseKind(name string) (Kind, error) {
	switch k := Kind(name); k {
	case Lookup, Filing, Export:
		return k, nil
	}
	return "", fmt.Errorf("kind %q: expected lookup, filing or export", name)
}

// Config says how a server works.
type Config struct {
	Name  string // told in answers
	Kind  Kind
	Slots int           // requests worked on at once
	Queue int           // requests that wait for a slot; more are shed
	Work  time.Duration // time of one request in a slot
	Size  int           // bytes of an export's body, at least
	// ColdFor is how long after the start, and after the fault Cold was
	// switched on, work takes ColdFactor times as long.
	ColdFor    time.Duration
	ColdFactor int
}

// Faults are the faults in force. The zero value is none. Shares are from 0 to
// 1 and are spread evenly over the requests.
type Faults struct {
	DelayMillis   int     `json:"delay_ms"`    // added to each work
	FailShare     float64 `json:"fail_share"`  // work that ran and ends with status 500
	ResetShare    float64 `json:"reset_share"` // work that ran and whose connection is cut
	ShedShare     float64 `json:"shed_share"`  // refused unrun with 503
	TruncateShare float64 `json:"truncate_share"`
	CrossShare    float64 `json:"cross_share"` // answered with the answer before it
	// FlapMillis alternates between failing all work for this long and failing
	// none.
	FlapMillis int  `json:"flap_ms"`
	Drain      bool `json:"drain"`  // says that it is leaving, still works
	Cold       bool `json:"cold"`   // starts cold again
	Refuse     bool `json:"refuse"` // the work port refuses connections
	Unhealthy  bool `json:"unhealthy"`
}
