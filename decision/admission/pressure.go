package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// pressureWindow is the time constant of the rates of admitted and refused
	// requests, from which RetryAfter is computed.
	pressureWindow = 5 * time.Second
	// demandValidity is how long the demand that an owner has reported counts.
	demandValidity = 2 * time.Second
	// retrySpanPerRefusal is the span over which the callers of refused requests
	// are asked to return, for each refused request per admitted one: they then
	// return about as fast as their requests can be admitted. maxRetrySpan bounds
	// it, because a surge may end.
	retrySpanPerRefusal = time.Second
	maxRetrySpan        = 5 * time.Second
	// retrySpanUnavailable bounds the span for an account within its rate: its
	// tokens are back once an owner answers.
	retrySpanUnavailable = 250 * time.Millisecond
)

// admissionRates holds how many requests of an account this host admits and refuses.
type admissionRates struct {
	admitted, refused average
	refusals          int // number of refusals, for their spread
}

// ownerReport is what a source's owner has said of other hosts that ask for its
// tokens. The zero value is that of an owner that has said nothing.
type ownerReport struct {
	promised int  // tokens that the owner keeps from emptyUntil on
	isShort  bool // the owner has no tokens to promise
	// missing is why the source could not be asked; empty if its owner answers.
	missing            model.TokenCause
	demand             int           // of the account, in percent of its rate
	demandAt           model.Instant // when demand was reported
	arrived            int           // requests since the last ask
	arrivalsReportedAt model.Instant // when arrived was last reported
}

// record updates the report from an owner's answer.
func (c *ownerReport) record(now model.Instant, m message.TokenGrant) {
	c.missing = ""
	c.promised, c.isShort = max(0, m.Promised), m.Promised == message.NonePromised
	if m.NotOwner {
		c.missing = model.CauseOwnerUnknown
		return
	}
	if m.Demand > 0 {
		c.demand, c.demandAt = m.Demand, now
	}
}

// longestBackoff returns the longest time that the owner may ask this host to
// wait.
func (c *ownerReport) longestBackoff() time.Duration {
	if c.isShort {
		return maxNextAsk
	}
	return maxEmptyBackoff
}

// countArrival counts a request of the account, to be reported to each owner.
func (a *accountState) countArrival() {
	for i := range a.sources {
		a.sources[i].arrived++
	}
}

// reportArrivals returns the number of requests to report with an ask, at most
// those of maxArrivedTime.
func (a *accountState) reportArrivals(now model.Instant, s *source) int {
	arrived := s.arrived
	if now.Sub(s.arrivalsReportedAt) > maxArrivedTime {
		arrived = min(arrived, 1+int(a.demand.rateAt(now)*maxArrivedTime.Seconds()))
	}
	s.arrived, s.arrivalsReportedAt = 0, now
	return arrived
}

// isOverRate reports whether an owner has said lately that the demand is over
// the account's rate, by more than two standard deviations of a Poisson process.
func (a *accountState) isOverRate(now model.Instant) bool {
	return slices.ContainsFunc(a.sources, func(s source) bool {
		expected := s.Limit.Total * demandWindow.Seconds()
		return float64(s.demand) > 100+200/math.Sqrt(max(expected, 1)) && now < s.demandAt.Add(demandValidity)
	})
}

// hasShortSource reports whether an owner has no tokens to promise now.
func (a *accountState) hasShortSource(now model.Instant) bool {
	return slices.ContainsFunc(a.sources, func(s source) bool { return s.isShort && now < s.emptyUntil })
}

// enqueue adds a waiter behind those of the same or a more urgent priority.
func (a *accountState) enqueue(w waiter) {
	i, _ := slices.BinarySearchFunc(a.waiters, w, func(x, target waiter) int {
		return cmp.Or(cmp.Compare(x.priority, target.priority), -1)
	})
	a.waiters = slices.Insert(a.waiters, i, w)
}

// expectedTokens returns for how many waiters with the given deadline tokens
// may still arrive in time. A source that can be asked now, or whose owner is yet to
// answer, counts for all. Where the demand is over the rate, of the others only
// promised tokens count: other hosts compete for the rest.
func (a *accountState) expectedTokens(now, deadline model.Instant, isOver bool) int {
	expected := 0
	for _, s := range a.sources {
		from := s.askableFrom()
		switch {
		case isOver && s.isMissing(now):
		case s.pendingAsk != 0 || from <= now:
			return math.MaxInt
		case from > deadline || s.isShort:
		case s.promised > 0:
			expected += s.promised
		case !isOver:
			return math.MaxInt
		}
	}
	return expected
}

// isMissing reports whether the source has no owner that answers in the usual time.
func (s *source) isMissing(now model.Instant) bool {
	return s.missing != "" || (s.pendingAsk != 0 && now >= s.askedAt.Add(hedgeDelay))
}

// refuseWaiters refuses queued requests whose deadline has passed, and those for
// which no token is expected before it, the least urgent ones first.
func (l *Limiter) refuseWaiters(now model.Instant, a *accountState) {
	if len(a.waiters) == 0 {
		return
	}
	isOver := a.isOverRate(now)
	kept := a.waiters[:0]
	for _, w := range a.waiters {
		if now < w.deadline && len(kept) < a.expectedTokens(now, w.deadline, isOver) {
			kept = append(kept, w)
			continue
		}
		l.emit(a.refusal(now, w.request, ""))
	}
	a.waiters = kept
}

// refusal returns the refusal of a request. The reason is ReasonOverRate where all
// owners answer, or the demand is over the account's rate. The cause of
// ReasonTokensUnavailable is found if none is given.
func (a *accountState) refusal(now model.Instant, request model.RequestID, cause model.TokenCause) Refused {
	a.rates.refused.add(now, 1, pressureWindow)
	a.rates.refusals++
	r := Refused{Request: request, Reason: model.ReasonOverRate}
	if !a.isOverRate(now) {
		r.Cause = cmp.Or(a.missingCause(now), cause)
	}
	span := a.retrySpan(now)
	if r.Cause != "" {
		r.Reason = model.ReasonTokensUnavailable
		span = min(span, retrySpanUnavailable)
	}
	r.RetryAfter = a.retryAfter(now, span)
	return r
}

// missingCause returns why tokens are unavailable, empty if every owner has
// answered that it has none.
func (a *accountState) missingCause(now model.Instant) model.TokenCause {
	cause := model.TokenCause("")
	isEmpty := false
	for _, s := range a.sources {
		switch {
		case s.missing != "":
			cause = cmp.Or(cause, s.missing)
		case s.pendingAsk != 0 && now >= s.askedAt.Add(hedgeDelay):
			cause = cmp.Or(cause, model.CauseNoAnswer)
		case s.emptyUntil > now:
			isEmpty = true
		}
	}
	if cause != "" && isEmpty {
		return model.CauseShareEmpty
	}
	return cause
}

// goldenFraction is the fractional part of the golden ratio. Its multiples, taken
// modulo 1, cover an interval evenly, whatever their number.
const goldenFraction = 0.6180339887498949

// retrySpan returns the span over which the callers of refused requests are to
// return.
func (a *accountState) retrySpan(now model.Instant) time.Duration {
	admitted := a.rates.admitted.rateAt(now, pressureWindow)
	refused := a.rates.refused.rateAt(now, pressureWindow)
	if retrySpanPerRefusal.Seconds()*refused >= maxRetrySpan.Seconds()*admitted {
		return maxRetrySpan
	}
	return time.Duration(refused / admitted * float64(retrySpanPerRefusal))
}

// retryAfter returns when the caller of a refused request is to return: not
// before an owner can be asked again, and at a part of the span that differs from
// one refusal to the next.
func (a *accountState) retryAfter(now model.Instant, span time.Duration) time.Duration {
	earliest := maxNextAsk
	for _, s := range a.sources {
		earliest = min(earliest, max(minEmptyBackoff, s.askableFrom().Sub(now)))
	}
	_, part := math.Modf(float64(a.rates.refusals) * goldenFraction)
	return earliest + time.Duration(part*float64(span))
}
