package health

import (
	"time"

	"pollensail.dev/decision/estimate"
	"pollensail.dev/decision/model"
)

// Finding is what one attempt says about its server.
type Finding uint8

// The findings. Nothing is for attempts that ended for a reason of the fleet
// or of the caller.
const (
	Nothing Finding = iota
	OK
	Slow     // whole, but far slower than the pool's median
	TimedOut // no answer by the caller's deadline
	Failed   // any other failure that the server causes
)

const (
	// slowFactor is how many times the pool's median counts as slow.
	slowFactor = 4
	// slowMinimum keeps short pauses from counting as slow where the median is
	// a few milliseconds.
	slowMinimum = 50 * time.Millisecond
	// medianCount is the number of answers before the median is used.
	medianCount = 20
	// timeoutMinimum is the shortest attempt whose timeout counts against the
	// server. Below it, or below the median, the caller asked for too much.
	timeoutMinimum = 100 * time.Millisecond
)

// latencies follows the median latency of a service for each class.
type latencies [model.Batch + 1]estimate.Quantile

func newLatencies() latencies {
	var l latencies
	for i := range l {
		l[i] = estimate.NewQuantile(0.5)
	}
	return l
}

func (l *latencies) add(class model.Class, d time.Duration) { l[class].Add(d) }

// slowAfter returns the latency from which an answer is slow, 0 while too
// little is known.
func (l *latencies) slowAfter(class model.Class) time.Duration {
	median := &l[class]
	if median.Count() < medianCount {
		return 0
	}
	return max(slowFactor*median.Value(), slowMinimum)
}

// find classifies the result of an attempt.
func (l *latencies) find(class model.Class, result model.AttemptResult) Finding {
	if result.Shed {
		return Nothing
	}
	latency := time.Duration(result.Latency)
	switch result.Reason {
	case "":
		slow := l.slowAfter(class)
		return findAnswer(result.Status, slow > 0 && latency > slow)
	case model.ReasonServerFailed, model.ReasonBadAnswer:
		return Failed
	case model.ReasonTimedOut:
		if latency >= max(l[class].Value(), timeoutMinimum) {
			return TimedOut
		}
	}
	return Nothing
}

func findAnswer(status int, isSlow bool) Finding {
	switch {
	case status >= statusServerError:
		return Failed
	case isSlow:
		return Slow
	}
	return OK
}

// statusServerError is the first status that blames the server.
const statusServerError = 500
