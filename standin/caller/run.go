package caller

import (
	"context"
	"sync"
	"time"

	"pollensail.dev/standin/wait"
)

// CallResult is the outcome of one request.
type CallResult struct {
	BusinessID string `json:"business"`
	Host       string `json:"host"`   // that the last try was sent to
	Status     int    `json:"status"` // 0 if no response arrived
	Verdict    string `json:"verdict"`
	// MayHaveRun is false only if every try was told not-run.
	MayHaveRun bool          `json:"may_have_run"`
	Reason     string        `json:"reason,omitempty"` // from the body of a refusal
	Error      string        `json:"error,omitempty"`
	Tries      int           `json:"tries"`
	Crossed    bool          `json:"crossed,omitempty"`  // the response belongs to another request
	Replayed   bool          `json:"replayed,omitempty"` // the host replayed the response of an earlier try
	Latency    time.Duration `json:"latency_ns"`         // since the request was due, not since it was sent
	SentAt     time.Time     `json:"sent"`
}

// Run sends the requests at a fixed rate (open loop) and returns the calls in the
// order of their completion. It stops early when ctx is done. Unsent is the number
// of requests that were skipped because config.Outstanding were in flight when
// they were due.
func Run(ctx context.Context, config Config) (calls []CallResult, unsent int, err error) {
	if err := config.validate(); err != nil {
		return nil, 0, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	client := newClient(config)
	inFlight := make(chan struct{}, config.Outstanding)
	start := time.Now()
	for i := range config.Count {
		due := start.Add(time.Duration(float64(i) / config.RatePerSecond * float64(time.Second)))
		if !wait.Sleep(ctx, time.Until(due)) {
			break
		}
		select {
		case inFlight <- struct{}{}:
		default:
			unsent++
			continue
		}
		wg.Go(func() {
			call := client.call(ctx, i, due)
			<-inFlight
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, call)
		})
	}
	wg.Wait()
	return calls, unsent, nil
}
