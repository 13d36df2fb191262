package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

const (
	// reservedTime is how long a free share is left to more urgent requests that are
	// expected back. Callers wait as they are told, give or take some network delay;
	// after this time they have given up.
	reservedTime = 250 * time.Millisecond
	// maxReturningPriorities bounds the priorities that are told apart. Any other counts
	// with the next one.
	maxReturningPriorities = 16
	// minReturnSpread is the shortest time over which the requests return that come
	// back when the servers are warm.
	minReturnSpread = time.Second
)

// returningRequests are the refused requests that were told when to come back, by
// priority, the most urgent first.
type returningRequests struct {
	classes    []returningClass
	advancedAt model.Instant
}

type returningClass struct {
	priority int
	// inTurn are the requests that come back for a share each.
	inTurn float64
	// atEnd are those that come back when the servers are warm.
	atEnd float64
}

func (r *returningRequests) clear() {
	r.classes = r.classes[:0]
	r.advancedAt = 0
}

// advance removes the requests that have come back since the last call, the most
// urgent first, at the rate of the shares.
func (r *returningRequests) advance(now model.Instant, rate float64) {
	back := rate * now.Sub(r.advancedAt).Seconds()
	r.advancedAt = now
	for i := range r.classes {
		class := &r.classes[i]
		taken := min(back, class.inTurn)
		class.inTurn -= taken
		back -= taken
	}
}

// isReserved reports whether a free share is left to a more urgent request.
func (r *returningRequests) isReserved(now, freeSince model.Instant, priority int) bool {
	return now.Sub(freeSince) < reservedTime && r.inTurnBefore(priority) >= 1
}

// inTurnBefore returns the number of returning requests that are more urgent.
func (r *returningRequests) inTurnBefore(priority int) float64 {
	n := 0.0
	for _, class := range r.classes {
		if class.priority < priority {
			n += class.inTurn
		}
	}
	return n
}

// add notes a refused request and returns the time until it should come back. That
// is after those before it, one for each share in turn; or, if the servers are warm
// earlier, spread over a further spread, the more urgent ones first.
func (r *returningRequests) add(now model.Instant, rnd *rand.Rand, priority int, use ColdUse, spread time.Duration) time.Duration {
	class := r.class(priority)
	position := rnd.Float64()
	if use.Rate > 0 {
		turn := (r.inTurnBefore(class.priority) + class.inTurn + position) / use.Rate
		at := max(now, use.NextAt).Add(time.Duration(turn * float64(time.Second)))
		if at < use.WarmAt {
			class.inTurn++
			return max(at.Sub(now), 1)
		}
	}
	class.atEnd++
	before, all := 0.0, 0.0
	for _, other := range r.classes {
		if other.priority < class.priority {
			before += other.atEnd
		}
		all += other.atEnd
	}
	part := (before + position*class.atEnd) / all
	return max(use.WarmAt.Sub(now), 0) + time.Duration(part*float64(max(spread, minReturnSpread))) + 1
}

// class returns the class of a priority, and adds it if there is room.
func (r *returningRequests) class(priority int) *returningClass {
	i, ok := slices.BinarySearchFunc(r.classes, priority, func(c returningClass, p int) int { return c.priority - p })
	switch {
	case ok:
	case len(r.classes) < maxReturningPriorities:
		r.classes = slices.Insert(r.classes, i, returningClass{priority: priority})
	default:
		i = min(i, len(r.classes)-1)
	}
	return &r.classes[i]
}
