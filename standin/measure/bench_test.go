package measure

import (
	"fmt"
	"testing"
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// BenchmarkTokenMessages counts the messages for admission that a host sends,
// by how the load is spread over accounts. 66 requests a second is the load of
// a host at the target size.
func BenchmarkTokenMessages(b *testing.B) {
	for _, test := range []struct {
		name     string
		accounts []account
	}{
		{"accounts=8,rate=5", usersAccounts(200)},
		{"accounts=8,rate=66", usersAccounts(2640)},
		{"accounts=250,rate=66", zipfAccounts(250, 2640)},
		{"accounts=3000,rate=66", zipfAccounts(3000, 2640)},
	} {
		b.Run(test.name, func(b *testing.B) {
			var asks, grants, calls int
			for b.Loop() {
				asks, grants, calls = countTokenMessages(test.accounts)
			}
			perHost := 1 / (40 * benchTime.Seconds())
			b.ReportMetric(float64(asks)*perHost, "asks/s/host")
			b.ReportMetric(float64(grants)*perHost, "grants/s/host")
			b.ReportMetric(float64(asks+grants)/float64(calls), "messages/request")
		})
	}
}

const benchTime = 20 * time.Second

func countTokenMessages(accounts []account) (asks, grants, calls int) {
	s := site{hosts: 40, servers: 30, slots: 60, work: 5 * time.Millisecond}
	r := newRun(shipped, s, 1, accounts)
	carryOut := r.product.fleet.Intercept
	r.product.fleet.Intercept = func(h *fleettest.Host, f effect.Effect) bool {
		if send, ok := f.(effect.Send); ok {
			switch send.Message.(type) {
			case message.TokenAsk:
				asks++
			case message.TokenGrant:
				grants++
			}
		}
		return carryOut(h, f)
	}
	r.start(benchTime)
	r.finish()
	return asks, grants, len(r.load.calls)
}

// zipfAccounts returns n accounts whose loads fall with their rank.
func zipfAccounts(n int, total float64) []account {
	sum := 0.0
	for i := range n {
		sum += 1 / float64(i+1)
	}
	accounts := make([]account, n)
	for i := range accounts {
		sends := total / (float64(i+1) * sum)
		accounts[i] = account{
			id:    model.AccountID(fmt.Sprintf("a%d", i)),
			rate:  max(sends/0.8, 0.2),
			burst: max(4, int(2*sends)),
			sends: sends,
		}
	}
	return accounts
}
