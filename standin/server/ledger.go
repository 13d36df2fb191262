package server

import (
	"net/http"
	"sync"
	"time"
)

// maxRecords bounds the ledger and the log of received requests.
const maxRecords = 200000

// Run is one request that ran, in whole or in part.
type Run struct {
	Request  string    `json:"request"`  // Pollensail-Request-Id
	Business string    `json:"business"` // query parameter "business"
	Key      string    `json:"key"`      // Idempotency-Key
	Path     string    `json:"path"`
	Start    time.Time `json:"start"`
	Finished bool      `json:"finished"` // false when it was cancelled
}

// Received is what a request looked like on arrival.
type Received struct {
	Method  string      `json:"method"`
	URI     string      `json:"uri"` // with the query
	Header  http.Header `json:"header"`
	Trailer http.Header `json:"trailer,omitempty"`
}

// ledger keeps the runs and the received requests, the newest dropped when
// full.
type ledger struct {
	mu       sync.Mutex
	runs     []Run
	received []Received
}

// start records a run and returns its index, -1 when the ledger is full.
func (l *ledger) start(run Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= maxRecords {
		return -1
	}
	l.runs = append(l.runs, run)
	return len(l.runs) - 1
}

func (l *ledger) finish(index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index >= 0 {
		l.runs[index].Finished = true
	}
}

func (l *ledger) receive(r Received) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.received) < maxRecords {
		l.received = append(l.received, r)
	}
}

func (l *ledger) copyRuns() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run{}, l.runs...)
}

func (l *ledger) copyReceived() []Received {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Received{}, l.received...)
}
