package estimate

import "time"

// quantileStep is the relative change of a Quantile with each value. With 4 %
// it follows a tenfold change of the input within about a hundred values.
const quantileStep = 0.04

// Quantile follows one quantile of a stream of durations. The zero value is
// not usable; call NewQuantile.
type Quantile struct {
	share float64 // 0 to 1
	value float64 // nanoseconds; 0: nothing seen
	count int
}

// NewQuantile returns an estimate of the given quantile, 0 to 1.
func NewQuantile(share float64) Quantile { return Quantile{share: share} }

// Add takes one value. Values that are not positive are ignored.
func (q *Quantile) Add(d time.Duration) {
	if d <= 0 {
		return
	}
	q.count++
	x := float64(d)
	switch {
	case q.value == 0:
		q.value = x
	case x > q.value:
		q.value += q.value * quantileStep * q.share
	case x < q.value:
		q.value -= q.value * quantileStep * (1 - q.share)
	}
}

// Value returns the estimate, 0 when nothing was seen.
func (q *Quantile) Value() time.Duration { return time.Duration(q.value) }

// Count returns the number of values taken.
func (q *Quantile) Count() int { return q.count }

// meanWeight is the weight of a new value in a Mean.
const meanWeight = 0.05

// Mean is an exponentially weighted mean of durations. The zero value has seen
// nothing.
type Mean struct{ value float64 }

// Add takes one value. Values that are not positive are ignored.
func (m *Mean) Add(d time.Duration) {
	if d <= 0 {
		return
	}
	if m.value == 0 {
		m.value = float64(d)
		return
	}
	m.value += meanWeight * (float64(d) - m.value)
}

// Value returns the mean, 0 when nothing was seen.
func (m *Mean) Value() time.Duration { return time.Duration(m.value) }
