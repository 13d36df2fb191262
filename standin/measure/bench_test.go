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

// BenchmarkTokenMessages counts the token messages that a host sends for
// admission, by the distribution of the load over accounts. 66 requests per
// second is the load of a host at the target size.
func BenchmarkTokenMessages(b *testing.B) {
	for _, test := range []struct {
		name     string
		accounts []account
	}{
		{"accounts=8,rate=5", skewedAccounts(200)},
		{"accounts=8,rate=66", skewedAccounts(2640)},
		{"accounts=250,rate=66", zipfAccounts(250, 2640)},
		{"accounts=3000,rate=66", zipfAccounts(3000, 2640)},
	} {
		b.Run(test.name, func(b *testing.B) {
			var asks, grants, requests int
			for b.Loop() {
				asks, grants, requests = countTokenMessages(test.accounts)
			}
			perHost := 1 / (40 * benchDuration.Seconds())
			b.ReportMetric(float64(asks)*perHost, "asks/s/host")
			b.ReportMetric(float64(grants)*perHost, "grants/s/host")
			b.ReportMetric(float64(asks+grants)/float64(requests), "messages/request")
		})
	}
}

const benchDuration = 20 * time.Second

func countTokenMessages(accounts []account) (asks, grants, requests int) {
	s := site{hosts: 40, servers: 30, workers: 60, serviceTime: 5 * time.Millisecond}
	r := newRun(shippedVariant, s, 1, accounts)
	intercept := r.shipped.sim.Intercept
	r.shipped.sim.Intercept = func(h *fleettest.Host, f effect.Effect) bool {
		if send, ok := f.(effect.Send); ok {
			switch send.Message.(type) {
			case message.TokenAsk:
				asks++
			case message.TokenGrant:
				grants++
			}
		}
		return intercept(h, f)
	}
	r.startLoad(benchDuration)
	r.drain()
	return asks, grants, len(r.load.requests)
}

// zipfAccounts returns n accounts that together send total requests per second.
// Their loads follow Zipf's law: each is inversely proportional to the rank.
func zipfAccounts(n int, total float64) []account {
	harmonic := 0.0
	for i := range n {
		harmonic += 1 / float64(i+1)
	}
	accounts := make([]account, n)
	for i := range accounts {
		offeredRate := total / (float64(i+1) * harmonic)
		accounts[i] = account{
			id:          model.AccountID(fmt.Sprintf("a%d", i)),
			rate:        max(offeredRate/0.8, 0.2),
			burst:       max(4, int(2*offeredRate)),
			offeredRate: offeredRate,
		}
	}
	return accounts
}
