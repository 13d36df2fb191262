package measure

import (
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// account is a client account and the load that it sends.
type account struct {
	id          model.AccountID
	rate        float64 // granted rate, requests per second
	burst       int
	offeredRate float64 // average offered load, requests per second
	slow        bool    // its requests go to the slow service
}

// request is one request of a caller and its outcome.
type request struct {
	account     int
	host        int
	sent        time.Duration
	slow        bool // goes to the slow service
	withinRate  bool // within the account's rate and burst when it was sent
	completed   bool
	status      int  // HTTP status of the last attempt
	ok          bool // answered with status 200 before its deadline
	refused     bool // refused by the fleet or shed by the server
	rateLimited bool // refused by the rate limiter
}

// fleet is the set of hosts under test.
type fleet interface {
	send(req *request)
}

// load generates requests to hosts. The requests of each account arrive as a
// Poisson process. For each account, idealBuckets holds the token bucket that a
// single host without a fleet would have; it decides which requests are within
// the rate.
type load struct {
	clock        *fleettest.Fleet
	rand         *rand.Rand
	fleet        fleet
	accounts     []account
	idealBuckets []tokenBucket // by account
	// pickHost selects the host that gets the next request of an account.
	pickHost func(r *rand.Rand, account int, at time.Duration) int
	end      time.Duration
	requests []*request
}

// tokenBucket is the token bucket of an account.
type tokenBucket struct {
	tokens float64
	at     time.Duration // time of the last refill
}

// allow takes a token and reports whether there was one.
func (b *tokenBucket) allow(a account, now time.Duration) bool {
	b.tokens = min(float64(a.burst), b.tokens+a.rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// uniformHost selects hosts at random with equal probability, as the platform's
// load balancer does.
func uniformHost(hosts int) func(*rand.Rand, int, time.Duration) int {
	return func(r *rand.Rand, _ int, _ time.Duration) int { return r.IntN(hosts) }
}

// start schedules the requests of every account until the load ends.
func (l *load) start() {
	l.idealBuckets = make([]tokenBucket, len(l.accounts))
	for i, a := range l.accounts {
		l.idealBuckets[i] = tokenBucket{tokens: float64(a.burst), at: l.clock.Now}
		if a.offeredRate > 0 {
			l.scheduleNext(i)
		}
	}
}

func (l *load) scheduleNext(i int) {
	mean := float64(time.Second) / l.accounts[i].offeredRate
	l.clock.After(time.Duration(l.rand.ExpFloat64()*mean), func() {
		if l.clock.Now >= l.end {
			return
		}
		l.send(i)
		l.scheduleNext(i)
	})
}

func (l *load) send(i int) {
	req := &request{
		account:    i,
		host:       l.pickHost(l.rand, i, l.clock.Now),
		sent:       l.clock.Now,
		slow:       l.accounts[i].slow,
		withinRate: l.idealBuckets[i].allow(l.accounts[i], l.clock.Now),
	}
	l.requests = append(l.requests, req)
	l.fleet.send(req)
}
