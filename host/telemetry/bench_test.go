package telemetry

import (
	"fmt"
	"io"
	"runtime"
	"testing"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
)

// BenchmarkRecord measures the control goroutine's time for one outcome, log
// line and metrics, and the heap for MaxAccounts accounts of one class.
func BenchmarkRecord(b *testing.B) {
	before := heap()
	logger := NewLogger(io.Discard, "info")
	o := New(&logger.Logger)
	outcomes := make([]effect.Record, MaxAccounts)
	for i := range outcomes {
		r := outcome
		r.Account = model.AccountID(fmt.Sprintf("group%02d/customer%05d", i%100, i))
		outcomes[i] = effect.Record{Outcome: r}
		o.Observe(outcomes[i])
	}
	o.Close() // the reporter allocates at its first report
	perAccount := float64(heap()-before) / MaxAccounts
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		o.Observe(outcomes[i%MaxAccounts])
		i++
	}
	b.ReportMetric(perAccount, "heap-bytes/account")
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
