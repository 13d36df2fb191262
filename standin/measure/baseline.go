package measure

import (
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// baselineFleet is a shared-nothing baseline. Each host has an equal share of
// every account's rate and burst, a FIFO queue, random selection of servers,
// and its own failure detector for each server.
type baselineFleet struct {
	clock    *fleettest.Fleet
	rand     *rand.Rand
	accounts []account
	servers  []*server
	hosts    []*baselineHost
	// newDetector returns the detector of a host for a server; nil to use none.
	newDetector   func() detector
	slowServers   int // number of servers at the end of the list that form a second service
	ejectionCount int
	attempts      []attemptRecord
}

// hostConcurrency and hostQueueLimit limit the requests in flight and the
// queued requests of a host, in baselines and in the shipped fleet.
const (
	hostConcurrency = 16
	hostQueueLimit  = 32
)

type baselineHost struct {
	buckets      []tokenBucket
	inFlight     int
	queue        []*request
	detectors    []detector
	ejectedUntil []time.Duration
}

// detector is the failure detector of one host for one server.
type detector interface {
	// observe records the result of an attempt and returns the time until which
	// the server is ejected; 0 if it stays in use.
	observe(now time.Duration, ok bool) time.Duration
}

// breaker is the circuit breaker that the paper describes: it opens for 2 s
// after five consecutive failures.
type breaker struct{ consecutiveFailures int }

func (b *breaker) observe(now time.Duration, ok bool) time.Duration {
	if ok {
		b.consecutiveFailures = 0
		return 0
	}
	b.consecutiveFailures++
	if b.consecutiveFailures < 5 {
		return 0
	}
	b.consecutiveFailures = 0
	return now + 2*time.Second
}

// failureRateDetector applies the rule of the coordinator to the attempts of
// one host during the last minute: it ejects a server for 5 s after at least
// five failures that are at least a fifth of the attempts.
type failureRateDetector struct {
	times  []time.Duration
	failed []bool
}

func (a *failureRateDetector) observe(now time.Duration, ok bool) time.Duration {
	a.times = append(a.times, now)
	a.failed = append(a.failed, !ok)
	for now-a.times[0] > time.Minute {
		a.times = a.times[1:]
		a.failed = a.failed[1:]
	}
	failures := 0
	for _, f := range a.failed {
		if f {
			failures++
		}
	}
	if failures < 5 || 5*failures < len(a.failed) {
		return 0
	}
	*a = failureRateDetector{}
	return now + 5*time.Second
}

func newBaseline(clock *fleettest.Fleet, seed uint64, hosts int, accounts []account, newDetector func() detector) *baselineFleet {
	p := &baselineFleet{
		clock:       clock,
		rand:        rand.New(rand.NewPCG(seed, 2)),
		accounts:    accounts,
		newDetector: newDetector,
	}
	for range hosts {
		h := &baselineHost{}
		for _, a := range accounts {
			h.buckets = append(h.buckets, tokenBucket{tokens: float64(a.burst) / float64(hosts)})
		}
		p.hosts = append(p.hosts, h)
	}
	return p
}

// send implements fleet.
func (p *baselineFleet) send(req *request) {
	h := p.hosts[req.host]
	if !p.admit(h, req) {
		req.completed, req.refused, req.rateLimited = true, true, true
		return
	}
	if len(h.queue) >= hostQueueLimit {
		req.completed, req.refused = true, true
		return
	}
	h.queue = append(h.queue, req)
	p.dispatch(h)
}

// admit takes a token from the host's share of the account's bucket. A share
// of the burst below one token is rounded up to one, which favors this
// baseline.
func (p *baselineFleet) admit(h *baselineHost, req *request) bool {
	a := p.accounts[req.account]
	share := account{
		rate:  a.rate / float64(len(p.hosts)),
		burst: max(1, a.burst/len(p.hosts)),
	}
	return h.buckets[req.account].allow(share, p.clock.Now)
}

func (p *baselineFleet) dispatch(h *baselineHost) {
	for h.inFlight < hostConcurrency && len(h.queue) > 0 {
		req := h.queue[0]
		h.queue = h.queue[1:]
		p.forward(h, req)
	}
}

func (p *baselineFleet) forward(h *baselineHost, req *request) {
	h.inFlight++
	i := p.pickServer(h, req.slow)
	p.attempts = append(p.attempts, attemptRecord{p.clock.Now, p.servers[i].id})
	p.servers[i].send(&attempt{
		hostDomain: req.host % domains,
		deadline:   req.sent + requestTimeout,
		onResult:   func(r model.AttemptResult) { p.onAttemptEnded(h, req, i, r) },
	})
}

// pickServer selects a random server of the service among those that are not
// ejected, or among all when every server is ejected. Both services share the
// host's limit on requests in flight.
func (p *baselineFleet) pickServer(h *baselineHost, slow bool) int {
	if h.ejectedUntil == nil {
		h.ejectedUntil = make([]time.Duration, len(p.servers))
		h.detectors = make([]detector, len(p.servers))
	}
	first, end := 0, len(p.servers)-p.slowServers
	if slow {
		first, end = end, len(p.servers)
	}
	var usable []int
	for i := first; i < end; i++ {
		if p.clock.Now >= h.ejectedUntil[i] {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return first + p.rand.IntN(end-first)
	}
	return usable[p.rand.IntN(len(usable))]
}

func (p *baselineFleet) onAttemptEnded(h *baselineHost, req *request, i int, r model.AttemptResult) {
	h.inFlight--
	req.completed = true
	req.ok = r.Status == 200
	req.refused = r.Shed
	if p.newDetector != nil && !r.Shed {
		p.observe(h, i, req.ok)
	}
	p.dispatch(h)
}

func (p *baselineFleet) observe(h *baselineHost, i int, ok bool) {
	if h.detectors[i] == nil {
		h.detectors[i] = p.newDetector()
	}
	if until := h.detectors[i].observe(p.clock.Now, ok); until > p.clock.Now {
		h.ejectedUntil[i] = until
		p.ejectionCount++
	}
}
