package decision_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
)

// mixedAccounts are eight client accounts, a few of them large.
var mixedAccounts = []configuration.Account{
	{ID: "museum", Rate: 200, Burst: 200},
	{ID: "institute", Rate: 100, Burst: 100},
	{ID: "coast", Rate: 40, Burst: 40},
	{ID: "north", Rate: 20, Burst: 20},
	{ID: "south", Rate: 10, Burst: 20},
	{ID: "island", Rate: 5, Burst: 10},
	{ID: "school", Rate: 2, Burst: 6},
	{ID: "visitor", Rate: 1, Burst: 2},
}

// TestRefusalsWithinRate guards against refusals of requests within their
// account's rate. The bounds are the targets of the design.
func TestRefusalsWithinRate(t *testing.T) {
	tests := []struct {
		name     string
		hosts    int
		share    float64 // of each account's rate
		fault    func(*load)
		perMille float64 // maximum refused
	}{
		{"steady 12 hosts", 12, 0.8, func(*load) {}, 1},
		{"steady 40 hosts", 40, 0.8, func(*load) {}, 1},
		{"replacement", 12, 0.8, replaceHost, 10},
		{"planned stop", 12, 0.8, stopHost, 10},
		{"store outage", 12, 0.8, storeOutage, 10},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			snapshot := limitsSnapshot(1, 4, mixedAccounts)
			f := newFleet(7, test.hosts, regionLink, snapshot)
			f.Run(20 * time.Second)
			l := newLoad(f, 7, mixedAccounts)
			for i := range mixedAccounts {
				l.start(i, test.share, f.Now+120*time.Second)
			}
			f.Run(20 * time.Second)
			begin := f.Now
			test.fault(l)
			f.Run(90 * time.Second)
			total, refused := l.refused(begin, f.Now)
			c.Logf("%d of %d requests within rate refused: %v", sum(refused), total, refused)
			c.Logf("%s", l.refusedByAccount(begin))
			c.Assert(float64(sum(refused))*1000 <= test.perMille*float64(total), qt.IsTrue)
			checkBound(c, f, mixedAccounts)
		})
	}
}

func (l *load) refusedByAccount(from time.Duration) string {
	counts := make(map[model.AccountID]int)
	for _, o := range l.fleet.Outcomes {
		if l.withinLimit[o.Request] && o.At >= from && o.Result == model.Refused {
			counts[o.Account]++
		}
	}
	return fmt.Sprint(counts)
}

// replaceHost kills the host that owns a slot and starts it again 20 s later.
func replaceHost(l *load) {
	f := l.fleet
	record, _ := f.Store.Record(model.SlotID{Domain: "d1"})
	h := f.Hosts[record.Owner.ID]
	h.Kill()
	f.After(20*time.Second, func() { f.Start(h.Entry) })
}

func stopHost(l *load) {
	f := l.fleet
	record, _ := f.Store.Record(model.SlotID{Domain: "d1"})
	h := f.Hosts[record.Owner.ID]
	h.Stop()
	f.After(40*time.Second, func() { f.Start(h.Entry) })
}

// storeOutage takes the store down for longer than a lease, and stops a host
// during that time.
func storeOutage(l *load) {
	f := l.fleet
	f.Store.Down = true
	f.After(60*time.Second, func() { f.Store.Down = false })
	f.After(20*time.Second, func() { stopHost(l) })
}
