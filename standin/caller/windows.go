package caller

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pollensail.dev/standin/server"
)

// Rate is a client account's limit. The zero value is none.
type Rate struct{ PerSecond, Burst float64 }

// admission is a request that ran. It was admitted between sent and ran.
type admission struct{ sent, ran time.Time }

// AuditRate returns the first window in which more calls ran than burst + rate
// × window. A call counts in a window only when it was both sent and ran in it,
// so neither load nor delay between caller and server changes the result. The
// calls have to be all of the account's, each tried once by the caller.
func AuditRate(calls []Call, runs []server.Run, rate Rate) []string {
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
			if most := rate.Burst + rate.PerSecond*window.Seconds(); float64(n) > most {
				return []string{fmt.Sprintf("%d ran within %v, at most %.1f may", n, window, most)}
			}
		}
	}
	return nil
}

// admissions returns the calls that ran in the order of their first runs.
func admissions(calls []Call, runs []server.Run) []admission {
	first := make(map[string]time.Time)
	for _, run := range runs {
		if at, ok := first[run.Business]; !ok || run.Start.Before(at) {
			first[run.Business] = run.Start
		}
	}
	var all []admission
	for _, call := range calls {
		if at, ok := first[call.Business]; ok {
			all = append(all, admission{call.Sent, at})
		}
	}
	slices.SortFunc(all, func(a, b admission) int {
		return cmp.Or(a.ran.Compare(b.ran), a.sent.Compare(b.sent))
	})
	return all
}

// AuditWithdrawn returns the calls that were sent after a time and ran. It is a
// fault too when no call was sent after it, because then nothing was checked.
func AuditWithdrawn(after time.Time, calls []Call, runs []server.Run) []string {
	var faults []string
	late := 0
	ran := make(map[string]bool)
	for _, run := range runs {
		ran[run.Business] = true
	}
	for _, call := range calls {
		if !call.Sent.After(after) {
			continue
		}
		late++
		if ran[call.Business] {
			faults = append(faults, fmt.Sprintf("%s: sent %v too late, ran", call.Business, call.Sent.Sub(after)))
		}
	}
	if late == 0 {
		faults = append(faults, "no call was sent late enough")
	}
	return faults
}

// AuditIdle returns the runs that began after a time.
func AuditIdle(after time.Time, runs []server.Run) []string {
	var faults []string
	for _, run := range runs {
		if run.Start.After(after) {
			faults = append(faults, fmt.Sprintf("%s: began %v too late", run.Business, run.Start.Sub(after)))
		}
	}
	return faults
}
