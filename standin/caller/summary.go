package caller

import (
	"slices"
	"strconv"
	"time"
)

// Summary sums up the calls of a run.
type Summary struct {
	Calls    int            `json:"calls"`
	Unsent   int            `json:"unsent"`
	OK       int            `json:"ok"` // status 2xx, whole and not crossed
	Crossed  int            `json:"crossed"`
	Replayed int            `json:"replayed"`
	Retried  int            `json:"retried"`
	Statuses map[string]int `json:"statuses"` // "none" without an answer
	Verdicts map[string]int `json:"verdicts"`
	Reasons  map[string]int `json:"reasons"`
	Errors   map[string]int `json:"errors"`
	Latency  Quantiles      `json:"latency_ms"` // of the calls that are OK
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Summarize sums up calls.
func Summarize(calls []Call, unsent int) Summary {
	s := Summary{
		Calls: len(calls), Unsent: unsent,
		Statuses: make(map[string]int), Verdicts: make(map[string]int),
		Reasons: make(map[string]int), Errors: make(map[string]int),
	}
	var latencies []time.Duration
	for _, call := range calls {
		s.add(call)
		if call.ok() {
			latencies = append(latencies, call.Latency)
		}
	}
	s.Latency = quantiles(latencies)
	return s
}

func (c Call) ok() bool { return c.Status/100 == 2 && c.Error == "" && !c.Crossed }

func (s *Summary) add(c Call) {
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
	s.OK += count(c.ok())
	s.Crossed += count(c.Crossed)
	s.Replayed += count(c.Replayed)
	s.Retried += count(c.Tries > 1)
}

func count(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func quantiles(latencies []time.Duration) Quantiles {
	if len(latencies) == 0 {
		return Quantiles{}
	}
	slices.Sort(latencies)
	at := func(q float64) float64 {
		i := int(q * float64(len(latencies)-1))
		return float64(latencies[i].Microseconds()) / 1000
	}
	return Quantiles{P50: at(0.5), P90: at(0.9), P99: at(0.99), Max: at(1)}
}
