package measure

import (
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// plain is a fleet of hosts that share nothing: each has an equal part of
// every account's rate and burst, a queue in the order of arrival, a random
// choice of server, and a detector of its own for each server.
type plain struct {
	clock    *fleettest.Fleet
	rand     *rand.Rand
	accounts []account
	servers  []*server
	hosts    []*plainHost
	// newDetector makes the detector of a host for a server; nil: none.
	newDetector func() detector
	slow        int // of the servers, the last ones, form a second service
	opened      int // decisions to take a server out of use
	attempts    []useOf
}

// plainConcurrency and plainQueue bound a host as the product's settings do.
const (
	plainConcurrency = 16
	plainQueue       = 32
)

type plainHost struct {
	buckets   []bucket
	inFlight  int
	queue     []*call
	detectors []detector
	outUntil  []time.Duration
}

// detector judges one server at one host. It reports until when the server is
// out of use.
type detector interface {
	observe(now time.Duration, ok bool) time.Duration
}

// breaker is the circuit breaker of the paper as published: open for 2 s after
// five failures in a row.
type breaker struct{ inRow int }

func (b *breaker) observe(now time.Duration, ok bool) time.Duration {
	if ok {
		b.inRow = 0
		return 0
	}
	b.inRow++
	if b.inRow < 5 {
		return 0
	}
	b.inRow = 0
	return now + 2*time.Second
}

// alone applies the rule of the coordinator, five failures and a fifth of the
// attempts, to one host's own attempts of the last minute.
type alone struct {
	times  []time.Duration
	failed []bool
}

func (a *alone) observe(now time.Duration, ok bool) time.Duration {
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
	*a = alone{}
	return now + 5*time.Second
}

func newPlain(clock *fleettest.Fleet, seed uint64, hosts int, accounts []account, newDetector func() detector) *plain {
	p := &plain{
		clock:       clock,
		rand:        rand.New(rand.NewPCG(seed, 2)),
		accounts:    accounts,
		newDetector: newDetector,
	}
	for range hosts {
		h := &plainHost{}
		for _, a := range accounts {
			h.buckets = append(h.buckets, bucket{level: float64(a.burst) / float64(hosts)})
		}
		p.hosts = append(p.hosts, h)
	}
	return p
}

// send implements policy.
func (p *plain) send(c *call) {
	h := p.hosts[c.host]
	if !p.admit(h, c) {
		c.ended, c.refused, c.limited = true, true, true
		return
	}
	if len(h.queue) >= plainQueue {
		c.ended, c.refused = true, true
		return
	}
	h.queue = append(h.queue, c)
	p.serve(h)
}

// admit takes a token of the host's part. A part of the burst below one token
// counts as one, in favour of this variant.
func (p *plain) admit(h *plainHost, c *call) bool {
	a := p.accounts[c.account]
	part := account{
		rate:  a.rate / float64(len(p.hosts)),
		burst: max(1, a.burst/len(p.hosts)),
	}
	return h.buckets[c.account].take(part, p.clock.Now)
}

func (p *plain) serve(h *plainHost) {
	for h.inFlight < plainConcurrency && len(h.queue) > 0 {
		c := h.queue[0]
		h.queue = h.queue[1:]
		p.forward(h, c)
	}
}

func (p *plain) forward(h *plainHost, c *call) {
	h.inFlight++
	i := p.choose(h, c.slow)
	p.attempts = append(p.attempts, useOf{p.clock.Now, p.servers[i].id})
	p.servers[i].send(&attempt{
		domain:   c.host % domains,
		deadline: c.sent + timeout,
		done:     func(r model.AttemptResult) { p.ended(h, c, i, r) },
	})
}

// choose picks a random server of the service that is in use, any when none
// is. Both services share the host's bound on requests in flight.
func (p *plain) choose(h *plainHost, slow bool) int {
	if h.outUntil == nil {
		h.outUntil = make([]time.Duration, len(p.servers))
		h.detectors = make([]detector, len(p.servers))
	}
	first, end := 0, len(p.servers)-p.slow
	if slow {
		first, end = end, len(p.servers)
	}
	var usable []int
	for i := first; i < end; i++ {
		if p.clock.Now >= h.outUntil[i] {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return first + p.rand.IntN(end-first)
	}
	return usable[p.rand.IntN(len(usable))]
}

func (p *plain) ended(h *plainHost, c *call, i int, r model.AttemptResult) {
	h.inFlight--
	c.ended = true
	c.ok = r.Status == 200
	c.refused = r.Shed
	if p.newDetector != nil && !r.Shed {
		p.observe(h, i, c.ok)
	}
	p.serve(h)
}

func (p *plain) observe(h *plainHost, i int, ok bool) {
	if h.detectors[i] == nil {
		h.detectors[i] = p.newDetector()
	}
	if until := h.detectors[i].observe(p.clock.Now, ok); until > p.clock.Now {
		h.outUntil[i] = until
		p.opened++
	}
}
