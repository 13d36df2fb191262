package decision_test

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// editSeries is a series of edits in quick succession at a fleet that is otherwise
// settled.
type editSeries struct {
	hosts    int
	maxDelay time.Duration // of a message
	loss     float64       // share of the messages that are lost
	interval time.Duration // between two edits
	length   time.Duration
	turnAway bool // the store does not answer a third of the hosts
	kills    bool // a random host is killed every second, and starts again
	accounts int  // client accounts beyond those of sampleTree, of which the edits are
}

// seriesResult is what a series of edits shows.
type seriesResult struct {
	// staleness has, sorted, the longest time that each host was without the version
	// that followed its own.
	staleness []time.Duration
	// messages and bytes are those that a host received about the configuration for
	// each version, on average.
	messages, bytes float64
}

func (r seriesResult) longest() time.Duration { return r.staleness[len(r.staleness)-1] }

func (r seriesResult) String() string {
	n := len(r.staleness)
	return fmt.Sprintf("%d hosts were without the next version for at most: median %v, nine tenths %v, longest %v; %.1f messages and %.1f KB for a host and version",
		n, r.staleness[n/2], r.staleness[n*9/10], r.longest(), r.messages, r.bytes/1000)
}

// run plays the series. The fleet has the same randomness for the same seed.
func (e editSeries) run(t testing.TB, seed uint64) seriesResult {
	link := fleettest.LinkQuality{MinDelay: time.Millisecond, MaxDelay: e.maxDelay, Loss: e.loss}
	s := newTreeFleet(t, e.hosts, seed, link)
	s.c.Assert(s.converges(30*time.Second), qt.IsTrue)
	s.fleet.Run(12 * time.Second) // until the slots have owners
	if e.accounts > 0 {
		s.addAccounts(e.accounts)
	}
	if e.turnAway {
		s.callTimeout = time.Second
		s.turnAwayWatchers(e.hosts/3 - len(s.watches))
		s.fleet.Run(time.Second)
	}
	clear(s.staleness)
	var r seriesResult
	s.fleet.Received = func(_ *fleettest.Host, m message.Message) {
		switch m.(type) {
		case message.ConfigOffer, message.ShardAsk, message.Shards:
			r.messages++
			r.bytes += float64(messageBytes(m))
		}
	}
	before := s.root.Version
	nextKill := s.fleet.Now
	for end := s.fleet.Now + e.length; s.fleet.Now < end; s.fleet.Run(e.interval) {
		if e.kills && s.fleet.Now >= nextKill {
			s.restartRandomHost()
			nextKill = s.fleet.Now + time.Second
		}
		s.set(account(s.rand.IntN(sampleAccounts+e.accounts)), "burst", fmt.Sprint(s.root.Version))
	}
	s.c.Check(s.converges(maxPropagation), qt.IsTrue, qt.Commentf("%v, want %d", s.versions(), s.root.Version))
	for _, d := range s.staleness {
		r.staleness = append(r.staleness, d)
	}
	slices.Sort(r.staleness)
	pairs := float64(s.root.Version-before) * float64(e.hosts)
	r.messages, r.bytes = r.messages/pairs, r.bytes/pairs
	return r
}

// addAccounts stores a version with more client accounts, and waits until it is in force.
func (s *treeStore) addAccounts(count int) {
	tree := s.tree.Clone()
	for i := range count {
		p := account(sampleAccounts + i)
		tree.Set(p, "keys", configuration.FormatKey(sha256.Sum256([]byte(p))))
	}
	s.edit(tree)
	s.c.Assert(s.converges(10*time.Second), qt.IsTrue)
	s.fleet.Run(time.Second)
}

// restartRandomHost kills a host, which starts again a while later.
func (s *treeStore) restartRandomHost() {
	entry := s.fleet.Options.Hosts[s.rand.IntN(len(s.fleet.Options.Hosts))]
	h := s.fleet.Hosts[model.HostID(entry.ID)]
	h.Kill()
	delete(s.watches, h)
	s.fleet.After(700*time.Millisecond, func() { s.fleet.Start(entry) })
}

// TestSeriesOfEditsIsInForceInTime guards against hosts that get late what others have:
// they asked a peer for a version that it had replaced by then, got no answer and learned
// of that only by a timeout. While edits followed each other faster than a host fetched
// one, some hosts were without the version after their own for over 2.5 s. Raise the
// number of seeds by hand.
func TestSeriesOfEditsIsInForceInTime(t *testing.T) {
	const (
		seeds   = 1
		soon    = time.Second
		inForce = 2500 * time.Millisecond // the time that a change may take
		ms      = time.Millisecond
	)
	tests := []struct {
		series editSeries
		within time.Duration
	}{
		{editSeries{hosts: 40, maxDelay: 80 * ms, interval: 60 * ms, length: 4 * time.Second}, soon},
		{editSeries{hosts: 88, maxDelay: 80 * ms, interval: 160 * ms, length: 8 * time.Second}, soon},
		{editSeries{hosts: 88, maxDelay: 160 * ms, interval: 60 * ms, length: 4 * time.Second}, soon},
		{editSeries{hosts: 120, maxDelay: 160 * ms, interval: 100 * ms, length: 4 * time.Second, loss: 0.01}, inForce},
		{editSeries{hosts: 88, maxDelay: 80 * ms, interval: 100 * ms, length: 4 * time.Second, loss: 0.025, turnAway: true, kills: true}, inForce},
		{editSeries{hosts: 88, maxDelay: 8 * ms, interval: 160 * ms, length: 4 * time.Second, turnAway: true}, soon / 2},
		{editSeries{hosts: 40, maxDelay: 160 * ms, interval: 60 * ms, length: 4 * time.Second, accounts: 6000, turnAway: true}, soon},
		{editSeries{hosts: 450, maxDelay: 80 * ms, interval: 200 * ms, length: 3 * time.Second}, soon},
	}
	for _, test := range tests {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%+v seed %d", test.series, seed), func(t *testing.T) {
				t.Parallel()
				result := test.series.run(t, seed)
				t.Log(result)
				qt.Check(t, result.longest() <= test.within, qt.IsTrue)
			})
		}
	}
}
