package estimate

import (
	"math"
	"time"
)

// quantileStep bounds the relative change of a Quantile with each value: a step
// up is this times the quantile, a step down this times the quantile's
// complement. With 4 % the median follows a tenfold change of the input within
// about a hundred values.
const quantileStep = 0.04

// Quantile estimates one quantile of a stream of durations by stochastic
// approximation: each value moves the estimate one step up or down, and the
// steps up and down balance where the wanted share of the values is smaller than
// the estimate. The zero value is not usable; call NewQuantile.
type Quantile struct {
	quantile float64 // 0 to 1
	value    float64 // nanoseconds; 0: no value yet
	count    int
}

// NewQuantile returns an estimator of the given quantile, from 0 to 1.
func NewQuantile(quantile float64) Quantile { return Quantile{quantile: quantile} }

// Add updates the estimate with a value. Values that are not positive are
// ignored.
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
		q.value += q.value * quantileStep * q.quantile
	case x < q.value:
		q.value -= q.value * quantileStep * (1 - q.quantile)
	}
}

// Value returns the estimate, 0 before the first value.
func (q *Quantile) Value() time.Duration { return time.Duration(q.value) }

// Count returns the number of values that were not ignored.
func (q *Quantile) Count() int { return q.count }

// responseWeight is the least weight of a new value in a ResponseTime; the first
// values weigh alike.
const responseWeight = 1.0 / 24

// ResponseTime estimates the mean and the mean deviation of response times. A few
// values suffice. The zero value is ready to use.
type ResponseTime struct {
	mean, deviation float64 // nanoseconds
	count           int
}

// Add updates the estimate with a value. Values that are not positive are
// ignored. Half of the first value counts as its deviation.
func (r *ResponseTime) Add(d time.Duration) {
	if d <= 0 {
		return
	}
	r.count++
	x := float64(d)
	if r.count == 1 {
		r.mean, r.deviation = x, x/2
		return
	}
	weight := max(1/float64(r.count), responseWeight)
	r.deviation += weight * (math.Abs(x-r.mean) - r.deviation)
	r.mean += weight * (x - r.mean)
}

// Mean returns the estimated mean, 0 before the first value.
func (r *ResponseTime) Mean() time.Duration { return time.Duration(r.mean) }

// Above returns the mean plus a number of deviations, 0 before the first value.
func (r *ResponseTime) Above(deviations float64) time.Duration {
	return time.Duration(r.mean + deviations*r.deviation)
}

// meanWeight is the weight of a new value in a Mean.
const meanWeight = 0.05

// Mean is an exponentially weighted moving average of durations. The zero value
// is ready to use.
type Mean struct{ value float64 }

// Add updates the mean with a value. Values that are not positive are ignored.
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

// Value returns the mean, 0 before the first value.
func (m *Mean) Value() time.Duration { return time.Duration(m.value) }
