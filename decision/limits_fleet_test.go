package decision_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// limitsSnapshot returns a configuration with one service for the given
// accounts. Each byte of the key of account i is i+1.
func limitsSnapshot(version uint64, domains int, accounts []configuration.Account) *configuration.Snapshot {
	var ids []model.DomainID
	for d := range domains {
		ids = append(ids, model.DomainID(fmt.Sprintf("d%d", d)))
	}
	s := configuration.NewSnapshot(version, ids, 2)
	s.AddService(&configuration.Service{
		ID: "lookup", Servers: []model.ServerID{"10.0.0.1:80"}, ServerConcurrency: 1000, Connections: 10000,
		Concurrency: 1000, Queue: 1000,
	})
	s.AddRoute(&configuration.Route{
		ID: "lookup", Path: "/lookup", Service: "lookup", Idempotent: true, Timeout: 10 * time.Second,
	})
	for i, a := range accounts {
		a.Keys = []model.KeyHash{accountKey(i)}
		s.AddAccount(&a)
	}
	return s
}

func accountKey(i int) (key model.KeyHash) {
	for j := range key {
		key[j] = byte(i + 1)
	}
	return key
}

func lookup(account int) event.RequestArrived {
	return event.RequestArrived{HasKey: true, Key: accountKey(account), Method: "GET", Path: "/lookup"}
}

func entryHosts(n, domains int) []model.HostEntry {
	var entries []model.HostEntry
	for i := range n {
		entries = append(entries, model.HostEntry{
			ID:     fmt.Sprintf("h%d", i),
			Role:   model.RoleEntry,
			Domain: model.DomainID(fmt.Sprintf("d%d", i%domains)),
		})
	}
	return entries
}

var regionLink = fleettest.LinkQuality{
	Loss: 0.01, Repeat: 0.01, MinDelay: 2 * time.Millisecond, MaxDelay: 5 * time.Millisecond,
}

func newFleet(seed uint64, hosts int, link fleettest.LinkQuality, snapshot *configuration.Snapshot) *fleettest.Fleet {
	return fleettest.New(fleettest.Options{
		Seed:      seed,
		Hosts:     entryHosts(hosts, len(snapshot.Domains)),
		Link:      link,
		Snapshot:  snapshot,
		Configure: decision.SetSnapshot,
	})
}

// limitChecker checks one account's limit: the requests in every time window
// are at most burst plus rate times the window. A token bucket that starts
// full runs empty exactly when some window exceeds that.
type limitChecker struct {
	rate, burst, level float64
	at                 time.Duration
}

func newLimitChecker(rate float64, burst int) *limitChecker {
	return &limitChecker{rate: rate, burst: float64(burst), level: float64(burst)}
}

// allow reports whether a request at the given time is within the limit, and
// counts it if so.
func (l *limitChecker) allow(at time.Duration) bool {
	l.level = min(l.burst, l.level+l.rate*(at-l.at).Seconds())
	l.at = at
	if l.level < 1-1e-6 {
		return false
	}
	l.level--
	return true
}

// load sends requests of accounts as a Poisson process, with most of an
// account's requests at a few hosts. It counts those within the limit and, of
// them, the refused ones.
type load struct {
	fleet       *fleettest.Fleet
	rand        *rand.Rand
	accounts    []configuration.Account
	withinLimit map[model.RequestID]bool
	checkers    []*limitChecker
}

func newLoad(f *fleettest.Fleet, seed uint64, accounts []configuration.Account) *load {
	l := &load{
		fleet: f, rand: rand.New(rand.NewPCG(seed, 2)), accounts: accounts,
		withinLimit: make(map[model.RequestID]bool),
	}
	for _, a := range accounts {
		l.checkers = append(l.checkers, newLimitChecker(a.Rate, a.Burst))
	}
	return l
}

// start sends requests of an account at a share of its rate until the end.
func (l *load) start(account int, share float64, end time.Duration) {
	rate := l.accounts[account].Rate * share
	var next func()
	next = func() {
		if l.fleet.Now >= end {
			return
		}
		l.send(account)
		l.fleet.After(time.Duration(l.rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	l.fleet.After(0, next)
}

// send sends a request to a random host that serves, to those with lower
// numbers more often.
func (l *load) send(account int) {
	hosts := len(l.fleet.Options.Hosts)
	skewed := int(float64(hosts) * l.rand.Float64() * l.rand.Float64())
	for i := range hosts {
		entry := l.fleet.Options.Hosts[(skewed+account+i)%hosts]
		if !l.fleet.Hosts[model.HostID(entry.ID)].Serving() {
			continue // the load balancer skips it
		}
		if id := l.fleet.Request(model.HostID(entry.ID), lookup(account)); id != 0 {
			l.withinLimit[id] = l.checkers[account].allow(l.fleet.Now)
		}
		return
	}
}

// refused counts the requests within the limit that ended between two times:
// all of them, and the refused ones by reason.
func (l *load) refused(from, to time.Duration) (total int, refused map[model.Reason]int) {
	refused = make(map[model.Reason]int)
	for _, o := range l.fleet.Outcomes {
		if !l.withinLimit[o.Request] || o.At < from || o.At > to {
			continue
		}
		total++
		if o.Result == model.Refused || o.Result == model.Failed {
			refused[o.Reason]++
		}
	}
	return total, refused
}

func sum(counts map[model.Reason]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}

// checkBound checks every account's limit against the requests admitted at all
// hosts.
func checkBound(c *qt.C, f *fleettest.Fleet, accounts []configuration.Account) {
	checkers := make(map[model.AccountID]*limitChecker)
	for _, a := range accounts {
		checkers[a.ID] = newLimitChecker(a.Rate, a.Burst)
	}
	for _, s := range f.Admitted {
		c.Assert(checkers[s.Account].allow(s.At), qt.IsTrue,
			qt.Commentf("account %s exceeds its limit at %v on %s", s.Account, s.At, s.Host))
	}
}

// TestFleetStarts guards against a fleet that does not distribute its slots
// among all hosts, and against a single host that does not serve.
func TestFleetStarts(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 12} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			c := qt.New(t)
			accounts := []configuration.Account{{ID: "a", Rate: 50, Burst: 50}}
			snapshot := limitsSnapshot(1, 3, accounts)
			f := newFleet(1, hosts, regionLink, snapshot)
			f.Run(5 * time.Second)
			held := make(map[model.HostID]int)
			for _, id := range snapshot.Slots() {
				record, _ := f.Store.Record(id)
				c.Assert(record.Term, qt.Equals, uint64(1))
				held[record.Owner.ID]++
			}
			c.Assert(len(held), qt.Equals, min(hosts, 6))
			l := newLoad(f, 1, accounts)
			l.start(0, 0.5, f.Now+10*time.Second)
			f.Run(11 * time.Second)
			total, refused := l.refused(0, f.Now)
			c.Logf("%d hosts: %d of %d within rate refused: %v", hosts, sum(refused), total, refused)
			c.Assert(total > 200, qt.IsTrue)
			c.Assert(sum(refused)*100 <= total, qt.IsTrue)
			checkBound(c, f, accounts)
			c.Assert(slices.IsSortedFunc(f.Admitted, func(a, b fleettest.Admission) int { return int(a.At - b.At) }), qt.IsTrue)
		})
	}
}
