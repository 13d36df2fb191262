package caller

import (
	"slices"
	"strconv"
	"time"
)

// Summary aggregates the calls of a run.
type Summary struct {
	Calls    int            `json:"calls"`
	Unsent   int            `json:"unsent"`
	OK       int            `json:"ok"` // status 2xx, complete and not crossed
	Crossed  int            `json:"crossed"`
	Replayed int            `json:"replayed"`
	Retried  int            `json:"retried"`
	Statuses map[string]int `json:"statuses"` // "none" without a response
	Verdicts map[string]int `json:"verdicts"`
	Reasons  map[string]int `json:"reasons"`
	Errors   map[string]int `json:"errors"`
	Latency  Quantiles      `json:"latency_ms"` // of the calls counted in OK
}

// Quantiles holds latency quantiles in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Summarize aggregates calls into a Summary.
func Summarize(calls []CallResult, unsent int) Summary {
	s := Summary{
		Calls: len(calls), Unsent: unsent,
		Statuses: make(map[string]int), Verdicts: make(map[string]int),
		Reasons: make(map[string]int), Errors: make(map[string]int),
	}
	var latencies []time.Duration
	for _, call := range calls {
		s.add(call)
		if call.succeeded() {
			latencies = append(latencies, call.Latency)
		}
	}
	s.Latency = quantiles(latencies)
	return s
}

// succeeded reports whether the call got a complete 2xx response of its own.
func (c CallResult) succeeded() bool { return c.Status/100 == 2 && c.Error == "" && !c.Crossed }

func (s *Summary) add(c CallResult) {
	status := "none"
	if c.Status != 0 {
		status = strconv.Itoa(c.Status)
	}
	s.Statuses[status]++
	s.Verdicts[c.Verdict]++
	if c.Reason != "" {
		s.Reasons[c.Reason]++
	}
	if c.Error != "" {
		s.Errors[c.Error]++
	}
	s.OK += boolToInt(c.succeeded())
	s.Crossed += boolToInt(c.Crossed)
	s.Replayed += boolToInt(c.Replayed)
	s.Retried += boolToInt(c.Tries > 1)
}

func boolToInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func quantiles(latencies []time.Duration) Quantiles {
	if len(latencies) == 0 {
		return Quantiles{}
	}
	slices.Sort(latencies)
	quantile := func(q float64) float64 {
		i := int(q * float64(len(latencies)-1))
		return float64(latencies[i].Microseconds()) / 1000
	}
	return Quantiles{P50: quantile(0.5), P90: quantile(0.9), P99: quantile(0.99), Max: quantile(1)}
}
