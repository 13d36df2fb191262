package measure

import (
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// account is a client account and what it sends.
type account struct {
	id    model.AccountID
	rate  float64 // granted, requests a second
	burst int
	sends float64 // requests a second, on average
	slow  bool    // calls the slow service
}

// call is one request and its end.
type call struct {
	account int
	host    int
	sent    time.Duration
	slow    bool // calls the slow service
	within  bool // the account was within rate and burst
	ended   bool
	status  int  // of the last attempt
	ok      bool // answered with a success in time
	refused bool // by the fleet, for any reason
	limited bool // refused for want of tokens
}

// policy is a fleet of hosts that serves calls.
type policy interface {
	send(c *call)
}

// load sends requests of accounts to hosts.
type load struct {
	clock    *fleettest.Fleet
	rand     *rand.Rand
	policy   policy
	accounts []account
	levels   []bucket // ideal buckets, which say what is within rate
	// hosts returns the host of the next request.
	hosts func(r *rand.Rand, account int, at time.Duration) int
	until time.Duration
	calls []*call
}

// bucket is the one token bucket that an account would have without a fleet.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) take(a account, now time.Duration) bool {
	b.level = min(float64(a.burst), b.level+a.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// anyHost spreads requests evenly, as the platform's balancer does.
func anyHost(hosts int) func(*rand.Rand, int, time.Duration) int {
	return func(r *rand.Rand, _ int, _ time.Duration) int { return r.IntN(hosts) }
}

// start lets every account send until the load's end.
func (l *load) start() {
	l.levels = make([]bucket, len(l.accounts))
	for i, a := range l.accounts {
		l.levels[i] = bucket{level: float64(a.burst), at: l.clock.Now}
		if a.sends > 0 {
			l.next(i)
		}
	}
}

func (l *load) next(i int) {
	mean := float64(time.Second) / l.accounts[i].sends
	l.clock.After(time.Duration(l.rand.ExpFloat64()*mean), func() {
		if l.clock.Now >= l.until {
			return
		}
		l.send(i)
		l.next(i)
	})
}

func (l *load) send(i int) {
	c := &call{
		account: i,
		host:    l.hosts(l.rand, i, l.clock.Now),
		sent:    l.clock.Now,
		slow:    l.accounts[i].slow,
		within:  l.levels[i].take(l.accounts[i], l.clock.Now),
	}
	l.calls = append(l.calls, c)
	l.policy.send(c)
}
