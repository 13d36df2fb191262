package message

import (
	"time"

	"pollensail.dev/decision/model"
)

// HealthBatches passes on batches of one or more hosts. A receiver that has not had
// a batch yet sends it on to its neighbors in its failure domain.
type HealthBatches struct {
	Batches []HealthBatch // newest first
}

// HealthBatch is what Origin observed at backend servers since its batch before.
type HealthBatch struct {
	Origin   model.HostRef
	Sequence uint64 // unique within the origin's incarnation
	Signals  []ServerSignals
	Loads    []ServerLoad
}

// ServerSignals counts the health signals of attempts at one server, or the
// unserved requests that were lost at no server in particular.
type ServerSignals struct {
	Service model.ServiceID
	Server  model.ServerID // empty: only Unserved is set
	Counts  []model.SignalCount
	// Unserved is how many requests were lost, apart from probes of suspected
	// servers: with the attempts of Counts, or without Server for other reasons.
	Unserved int
}

// ServerLoad is a server's report of its load.
type ServerLoad struct {
	Service model.ServiceID
	Server  model.ServerID
	Running int // requests being processed
	Waiting int // requests in the server's queue
	Slots   int // requests that the server processes at a time, at least 1
	// Age is the time from the server's response to the sending of this message.
	Age time.Duration
	// Start is the start of the server's process; 0: unknown.
	Start model.WallTime
	// Slowness is the response time in relation to the mean of its class, without the
	// time in the server's queue; 0: unknown.
	Slowness float64
}

func (HealthBatches) message() {}
