package telemetry

import (
	"fmt"
	"io"
	"runtime"
	"testing"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
)

// BenchmarkRecord measures the time that the control goroutine spends on the log
// line and metrics of one request, and the heap per account when MaxAccounts
// accounts have requests of one class.
func BenchmarkRecord(b *testing.B) {
	before := heapBytes()
	logger := NewLogger(io.Discard, "info")
	o := NewObserver(&logger.Logger)
	outcomes := make([]effect.RecordOutcome, MaxAccounts)
	for i := range outcomes {
		r := outcome
		r.Account = model.AccountID(fmt.Sprintf("group%02d/customer%05d", i%100, i))
		outcomes[i] = effect.RecordOutcome{Outcome: r}
		o.Observe(outcomes[i])
	}
	o.Close() // reports at once, so that the reporter's first allocations count as heap
	perAccount := float64(heapBytes()-before) / MaxAccounts
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		o.Observe(outcomes[i%MaxAccounts])
		i++
	}
	b.ReportMetric(perAccount, "heap-bytes/account")
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
