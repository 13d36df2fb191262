package caller

import (
	"fmt"
	"strings"

	"pollensail.dev/standin/server"
)

// Audit compares calls with the ledgers of all backend servers and returns what
// contradicts the promises: a call that was told not-run but ran, a call that
// was told it succeeded but did not run, and with onceOnly a business id that
// ran twice.
func Audit(calls []Call, runs []server.Run, onceOnly bool) []string {
	times := make(map[string]int)
	for _, run := range runs {
		if run.Business != "" {
			times[run.Business]++
		}
	}
	var faults []string
	for _, call := range calls {
		n := times[call.Business]
		switch {
		case call.Crossed:
			faults = append(faults, fmt.Sprintf("%s: answer of another request", call.Business))
		case !call.MayHaveRun && n > 0:
			faults = append(faults, fmt.Sprintf("%s: told not-run, ran %d times", call.Business, n))
		case call.ok() && n == 0:
			faults = append(faults, fmt.Sprintf("%s: told status %d, did not run", call.Business, call.Status))
		}
		if onceOnly && n > 1 {
			faults = append(faults, fmt.Sprintf("%s: ran %d times", call.Business, n))
		}
	}
	return faults
}

// FindKey returns the requests, as backend servers received them, that show a
// client account's key in the target, a header or a trailer.
func FindKey(key string, received []server.Received) []string {
	var faults []string
	for _, r := range received {
		if strings.Contains(fmt.Sprint(r.URI, r.Header, r.Trailer), key) {
			faults = append(faults, fmt.Sprintf("%s %s: shows the key", r.Method, r.URI))
		}
	}
	return faults
}
