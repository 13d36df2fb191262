package decision_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

var largeFleet = flag.Int("limits.hosts", 0, "size of an additional fleet in the tests of limits")

// fleetSizes returns numbers of hosts with the number of seeds for each.
func fleetSizes() map[int]uint64 {
	sizes := map[int]uint64{3: 10, 24: 2}
	if *largeFleet > 0 {
		sizes[*largeFleet] = 1
	}
	return sizes
}

// The tolerance of the users' rule on quotas.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 20
)

// mostInWindow returns the greatest number of requests of an account whose first bytes
// were written within quotaWindow.
func mostInWindow(f *fleettest.Fleet, account model.AccountID) int {
	var at []time.Duration
	most, first := 0, 0
	for _, w := range f.Written {
		if w.Account != account {
			continue
		}
		at = append(at, w.At)
		for at[first] < w.At-quotaWindow {
			first++
		}
		most = max(most, len(at)-first)
	}
	return most
}

// quotaOf returns how many requests a limit allows within quotaWindow.
func quotaOf(a configuration.Account) int {
	return int((a.Rate*quotaWindow.Seconds()+float64(a.Burst))*(1+quotaOvershoot)) + quotaSlack
}

// TestQuotaThroughChanges guards against a burst that is given out twice because a limit
// is low, or an account gone, for a while. The limit of reference is the highest one.
func TestQuotaThroughChanges(t *testing.T) {
	high := configuration.Account{ID: "a", Rate: 10, Burst: 200}
	low := func(rate float64, burst int) []configuration.Account {
		return []configuration.Account{{ID: "a", Rate: rate, Burst: burst}}
	}
	between := map[string][]configuration.Account{
		"a burst of one share":  low(4, 4),
		"a burst of two shares": low(4, 8),
		"a small rate":          low(0.01, 200),
		"without the account":   nil,
	}
	for name, changed := range between {
		for hosts, seeds := range fleetSizes() {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				t.Parallel()
				for seed := range seeds {
					checkQuotaThroughChange(qt.New(t), hosts, seed, high, changed)
				}
			})
		}
	}
}

// checkQuotaThroughChange checks the quota of an account that presses while its limit is
// changed and changed back.
func checkQuotaThroughChange(c *qt.C, hosts int, seed uint64, account configuration.Account, changed []configuration.Account) {
	const changeLag = 400 * time.Millisecond
	r := rand.New(rand.NewPCG(seed, 7))
	link := fleettest.LinkQuality{Loss: 0.1 * r.Float64(), MaxDelay: 20 * time.Millisecond}
	accounts := []configuration.Account{account}
	f := newFleet(seed, hosts, link, limitsSnapshot(1, 3, accounts))
	l := newLoad(f, seed, accounts)
	f.Run(26500 * time.Millisecond)
	l.start(0, 20, time.Minute)
	f.Run(time.Second)
	f.SetSnapshot(limitsSnapshot(2, 3, changed), time.Duration(r.Int64N(int64(changeLag))))
	f.Run(30100*time.Millisecond - f.Now) // past the sweep of the buckets
	f.SetSnapshot(limitsSnapshot(3, 3, accounts), changeLag)
	f.Run(6 * time.Second)
	most := mostInWindow(f, account.ID)
	c.Check(most <= quotaOf(account), qt.IsTrue, qt.Commentf("seed %d: %d requests within %v, %d are allowed", seed, most, quotaWindow, quotaOf(account)))
}
