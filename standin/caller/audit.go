package caller

import (
	"fmt"
	"strings"

	"pollensail.dev/standin/server"
)

// Audit compares the calls with the ledgers of all backend servers and returns a
// text for each violated guarantee: a response that belongs to another request, a
// call that was told not-run but ran, a call with a successful response that did
// not run, and with onceOnly a business ID that ran more than once.
func Audit(calls []CallResult, runs []server.Execution, onceOnly bool) []string {
	executions := make(map[string]int)
	for _, run := range runs {
		if run.BusinessID != "" {
			executions[run.BusinessID]++
		}
	}
	var violations []string
	for _, call := range calls {
		n := executions[call.BusinessID]
		switch {
		case call.Crossed:
			violations = append(violations, fmt.Sprintf("%s: answer of another request", call.BusinessID))
		case !call.MayHaveRun && n > 0:
			violations = append(violations, fmt.Sprintf("%s: told not-run, ran %d times", call.BusinessID, n))
		case call.succeeded() && n == 0:
			violations = append(violations, fmt.Sprintf("%s: told status %d, did not run", call.BusinessID, call.Status))
		}
		if onceOnly && n > 1 {
			violations = append(violations, fmt.Sprintf("%s: ran %d times", call.BusinessID, n))
		}
	}
	return violations
}

// FindLeakedKey returns the requests, as backend servers received them, that
// leak a client account's API key in the request target, a header field or a
// trailer field.
func FindLeakedKey(key string, received []server.ReceivedRequest) []string {
	var leaks []string
	for _, r := range received {
		if strings.Contains(fmt.Sprint(r.URI, r.Header, r.Trailer), key) {
			leaks = append(leaks, fmt.Sprintf("%s %s: shows the key", r.Method, r.URI))
		}
	}
	return leaks
}
