package decision_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/fleettest"
)

// TestEditArrivesPastLostRequests guards against a host that asks again too late, or asks
// a store that turns it away, where its request for the content of a version was lost: it
// would serve the older version after the time in which a change has to be in force.
func TestEditArrivesPastLostRequests(t *testing.T) {
	const (
		within      = 2500 * time.Millisecond
		hosts       = 88
		othersAway  = 26 // beside those that watch the root: a third of the fleet
		callTimeout = time.Second
	)
	link := fleettest.LinkQuality{MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond, Loss: 0.025}
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := newTreeFleet(t, hosts, seed, link)
			s.c.Assert(s.converges(30*time.Second), qt.IsTrue)
			s.fleet.Run(30 * time.Second) // until the slots have owners
			s.callTimeout = callTimeout
			s.turnAwayWatchers(othersAway)
			s.fleet.Run(time.Second)
			for i := range 3 {
				s.set(account(0), "burst", fmt.Sprint(100+i))
				s.c.Check(s.converges(within), qt.IsTrue, qt.Commentf("%v, want %d", s.versions(), s.root.Version))
				s.fleet.Run(within)
			}
		})
	}
}
