package health

import (
	"time"

	"pollensail.dev/decision/estimate"
	"pollensail.dev/decision/model"
)

// Finding is what one attempt shows about its server.
type Finding uint8

// NoFinding is for attempts that ended for a reason on the side of the fleet or
// the caller.
const (
	NoFinding Finding = iota
	OK
	Slow     // complete, but far slower than the service's median
	TimedOut // no answer by the caller's deadline
	Failed   // any other failure caused by the server
)

const (
	// slowFactor is the multiple of the service's median latency from which an
	// answer is slow.
	slowFactor = 4
	// minSlowLatency keeps short pauses from counting as slow where the median
	// is a few milliseconds.
	minSlowLatency = 50 * time.Millisecond
	// minMedianSamples is the number of answers before the median is used.
	minMedianSamples = 20
	// minTimeoutLatency is the shortest attempt whose timeout counts against
	// the server. Below it, or below the median, the caller's deadline was too
	// short.
	minTimeoutLatency = 100 * time.Millisecond
)

// latencies estimates the median latency of a service for each class.
type latencies [model.ClassCount]estimate.Quantile

func newLatencies() latencies {
	var l latencies
	for i := range l {
		l[i] = estimate.NewQuantile(0.5)
	}
	return l
}

func (l *latencies) add(class model.Class, d time.Duration) { l[class].Add(d) }

// slowThreshold returns the latency above which an answer is slow, 0 while
// there are too few samples.
func (l *latencies) slowThreshold(class model.Class) time.Duration {
	median := &l[class]
	if median.Count() < minMedianSamples {
		return 0
	}
	return max(slowFactor*median.Value(), minSlowLatency)
}

// classify returns the finding of an attempt's result.
func (l *latencies) classify(class model.Class, result model.AttemptResult) Finding {
	if result.Shed {
		return NoFinding
	}
	latency := time.Duration(result.Latency)
	switch result.Reason {
	case "":
		slow := l.slowThreshold(class)
		return classifyAnswer(result.Status, slow > 0 && latency > slow)
	case model.ReasonServerFailed, model.ReasonBadAnswer:
		return Failed
	case model.ReasonTimedOut:
		if latency >= max(l[class].Value(), minTimeoutLatency) {
			return TimedOut
		}
	}
	return NoFinding
}

func classifyAnswer(status int, isSlow bool) Finding {
	switch {
	case status >= minServerErrorStatus:
		return Failed
	case isSlow:
		return Slow
	}
	return OK
}

// minServerErrorStatus is the first status that the server is to blame for.
const minServerErrorStatus = 500
