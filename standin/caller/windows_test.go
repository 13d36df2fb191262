package caller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/standin/server"
)

// TestWindows guards against an audit that misses an exceeded rate limit, a request
// that ran after a revocation, or a request that ran on a drained server, and
// against one that reports an account within its rate limit.
func TestWindows(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(0, 0)
	var calls []CallResult
	var runs []server.Execution
	for i := range 11 {
		sent := start.Add(time.Duration(i) * 100 * time.Millisecond)
		id := string(rune('a' + i))
		calls = append(calls, CallResult{BusinessID: id, SentAt: sent})
		runs = append(runs, server.Execution{BusinessID: id, Start: sent.Add(time.Millisecond)})
	}
	c.Check(AuditRate(calls, runs, RateLimit{PerSecond: 10, Burst: 1}), qt.HasLen, 0)
	c.Check(AuditRate(calls, runs, RateLimit{PerSecond: 9, Burst: 1}), qt.HasLen, 1)
	c.Check(AuditRate(calls, runs, RateLimit{PerSecond: 10, Burst: 0.5}), qt.HasLen, 1)
	c.Check(AuditRevocation(start.Add(850*time.Millisecond), calls, runs), qt.HasLen, 2)
	c.Check(AuditRevocation(start.Add(850*time.Millisecond), calls, runs[:9]), qt.HasLen, 0)
	c.Check(AuditRevocation(start.Add(time.Hour), calls, runs), qt.HasLen, 1)
	c.Check(AuditNoRunsAfter(start.Add(850*time.Millisecond), runs), qt.HasLen, 2)
}
