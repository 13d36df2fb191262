package caller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pollensail.dev/standin/server"
)

// RateLimit is the rate limit of a client account, a token bucket. The zero
// value means no limit.
type RateLimit struct{ PerSecond, Burst float64 }

// admission is the interval in which the fleet admitted a request: between the
// time it was sent and the time it began to run.
type admission struct{ sent, ran time.Time }

// AuditRate returns the first time window in which more calls ran than the token
// bucket allows, burst + rate × window. A call counts in a window only if it was
// both sent and run within it, so neither load nor network delay changes the
// result. The calls must be all calls of the account, each tried only once.
func AuditRate(calls []CallResult, runs []server.Execution, rate RateLimit) []string {
	if rate.PerSecond <= 0 {
		return nil
	}
	all := admissions(calls, runs)
	for _, first := range all {
		n := 0
		for _, a := range all {
			if a.sent.Before(first.sent) {
				continue
			}
			n++
			window := a.ran.Sub(first.sent)
			if limit := rate.Burst + rate.PerSecond*window.Seconds(); float64(n) > limit {
				return []string{fmt.Sprintf("%d ran within %v, at most %.1f may", n, window, limit)}
			}
		}
	}
	return nil
}

// admissions returns the calls that ran, in the order of their first executions.
func admissions(calls []CallResult, runs []server.Execution) []admission {
	firstRun := make(map[string]time.Time)
	for _, run := range runs {
		if at, ok := firstRun[run.BusinessID]; !ok || run.Start.Before(at) {
			firstRun[run.BusinessID] = run.Start
		}
	}
	var all []admission
	for _, call := range calls {
		if at, ok := firstRun[call.BusinessID]; ok {
			all = append(all, admission{call.SentAt, at})
		}
	}
	slices.SortFunc(all, func(a, b admission) int {
		return cmp.Or(a.ran.Compare(b.ran), a.sent.Compare(b.sent))
	})
	return all
}

// AuditRevocation checks that nothing ran that was sent after a revocation: it
// returns the calls that were sent after cutoff and ran. If no call was sent after
// cutoff, nothing was checked, and that is a violation too.
func AuditRevocation(cutoff time.Time, calls []CallResult, runs []server.Execution) []string {
	var violations []string
	checked := 0
	ran := make(map[string]bool)
	for _, run := range runs {
		ran[run.BusinessID] = true
	}
	for _, call := range calls {
		if !call.SentAt.After(cutoff) {
			continue
		}
		checked++
		if ran[call.BusinessID] {
			violations = append(violations, fmt.Sprintf("%s: sent %v too late, ran", call.BusinessID, call.SentAt.Sub(cutoff)))
		}
	}
	if checked == 0 {
		violations = append(violations, "no call was sent after the cutoff, nothing was checked")
	}
	return violations
}

// AuditNoRunsAfter returns the runs that began after cutoff.
func AuditNoRunsAfter(cutoff time.Time, runs []server.Execution) []string {
	var violations []string
	for _, run := range runs {
		if run.Start.After(cutoff) {
			violations = append(violations, fmt.Sprintf("%s: began %v too late", run.BusinessID, run.Start.Sub(cutoff)))
		}
	}
	return violations
}
