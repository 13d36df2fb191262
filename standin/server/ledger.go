package server

import (
	"net/http"
	"sync"
	"time"
)

// maxRecords limits the runs and, separately, the received requests in the ledger.
const maxRecords = 200000

// Execution is the execution of one request, complete or cancelled.
type Execution struct {
	RequestID      string    `json:"request"`  // Pollensail-Request-Id
	BusinessID     string    `json:"business"` // query parameter "business"
	IdempotencyKey string    `json:"key"`      // Idempotency-Key
	Path           string    `json:"path"`
	Start          time.Time `json:"start"`
	Finished       bool      `json:"finished"` // false while it runs and if it was cancelled
}

// ReceivedRequest is a request as it arrived, without its body.
type ReceivedRequest struct {
	Method  string      `json:"method"`
	URI     string      `json:"uri"` // path and query
	Header  http.Header `json:"header"`
	Trailer http.Header `json:"trailer,omitempty"`
}

// ledger records the runs and the received requests. When one of them is full, new
// records of it are dropped.
type ledger struct {
	mu       sync.Mutex
	runs     []Execution
	received []ReceivedRequest
}

// startRun records a run and returns its index, or -1 if the ledger is full.
func (l *ledger) startRun(run Execution) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= maxRecords {
		return -1
	}
	l.runs = append(l.runs, run)
	return len(l.runs) - 1
}

func (l *ledger) finishRun(index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if index >= 0 {
		l.runs[index].Finished = true
	}
}

func (l *ledger) addReceived(r ReceivedRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.received) < maxRecords {
		l.received = append(l.received, r)
	}
}

func (l *ledger) copyRuns() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution{}, l.runs...)
}

func (l *ledger) copyReceived() []ReceivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]ReceivedRequest{}, l.received...)
}
