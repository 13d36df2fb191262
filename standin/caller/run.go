package caller

import (
	"context"
	"sync"
	"time"

	"pollensail.dev/standin/wait"
)

// Call is what became of one request.
type Call struct {
	Business string `json:"business"`
	Host     string `json:"host"`   // of the last try
	Status   int    `json:"status"` // 0 when no answer arrived
	Verdict  string `json:"verdict"`
	// MayHaveRun is true unless every try was told not-run.
	MayHaveRun bool          `json:"may_have_run"`
	Reason     string        `json:"reason,omitempty"` // of a refusal
	Error      string        `json:"error,omitempty"`
	Tries      int           `json:"tries"`
	Crossed    bool          `json:"crossed,omitempty"`  // the answer is another request's
	Replayed   bool          `json:"replayed,omitempty"` // the answer is of an earlier try
	Latency    time.Duration `json:"latency_ns"`         // from when the request was due
	Sent       time.Time     `json:"sent"`
}

// Run sends the requests and returns the calls that ended, in the order of
// their end. It ends early with ctx. Unsent is how many requests were due when
// Outstanding were on their way.
func Run(ctx context.Context, config Config) (calls []Call, unsent int, err error) {
	if err := config.check(); err != nil {
		return nil, 0, err
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	client := newClient(config)
	free := make(chan struct{}, config.Outstanding)
	start := time.Now()
	for i := range config.Count {
		due := start.Add(time.Duration(float64(i) / config.Rate * float64(time.Second)))
		if !wait.For(ctx, time.Until(due)) {
			break
		}
		select {
		case free <- struct{}{}:
		default:
			unsent++
			continue
		}
		running.Go(func() {
			call := client.call(ctx, i, due)
			<-free
			mu.Lock()
			defer mu.Unlock()
			calls = append(calls, call)
		})
	}
	running.Wait()
	return calls, unsent, nil
}
