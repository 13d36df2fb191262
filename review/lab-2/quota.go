package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["restore-quota"] = restoreQuota }

// rank is the order in which hosts take a slot: the lowest does.
func rank(domain string, index int, host string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(domain))
	h.Write([]byte{0, byte(index), byte(index >> 8), 0})
	h.Write([]byte(host))
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// nameBefore returns a name of a host that takes a slot before those of the lab.
func (l *lab) nameBefore(zone string, index int) string {
	for n := 1; ; n++ {
		name := fmt.Sprintf("front-%s-%d", zone, n)
		isFirst := !slices.ContainsFunc(l.hosts, func(h *host) bool { return h.name == name || rank(zone, index, h.name) < rank(zone, index, name) })
		if isFirst {
			return name
		}
	}
}

// span is when a request was sent and when it arrived at the server that ran it.
type span struct{ sent, arrived time.Time }

// quotaRun holds the requests of a run, by id and by tenant.
type quotaRun struct {
	lab  *lab
	mu   sync.Mutex
	sent map[string]time.Time
	ran  map[string][]span
}

// answer runs a request at once.
func (q *quotaRun) answer(b *backend, c *serverConn, r *http.Request) bool {
	id, tenant := r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant")
	q.mu.Lock()
	q.ran[tenant] = append(q.ran[tenant], span{q.sent[id], time.Now()})
	q.mu.Unlock()
	b.run(r)
	time.Sleep(5 * time.Millisecond)
	c.send(b.whole(id, http.StatusOK, "ok"))
	return true
}

// press sends a tenant's requests to a host, once that is ready, until an instant.
func (q *quotaRun) press(h *host, key string, until time.Time) {
	for time.Now().Before(until) && !h.isReady() {
		time.Sleep(20 * time.Millisecond)
	}
	var c *client
	for time.Now().Before(until) {
		if c == nil {
			var err error
			if c, err = q.lab.dial(h); err != nil {
				c = nil
				time.Sleep(50 * time.Millisecond)
				continue
			}
		}
		r := request{id: newID(), method: "GET", host: "read.example", path: "/read/1", key: key, deadline: 4 * time.Second}
		q.mu.Lock()
		q.sent[r.id] = time.Now()
		q.mu.Unlock()
		out := c.do(r)
		if out.err != nil || out.closes {
			c.conn.Close()
			c = nil
		}
		pause := 5 * time.Millisecond
		if out.status != http.StatusOK {
			pause = 20 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// most returns the greatest number of requests that were sent and arrived within a
// window.
func most(spans []span, window time.Duration) int {
	most := 0
	for _, first := range spans {
		n := 0
		for _, s := range spans {
			if !s.sent.Before(first.sent) && s.arrived.Sub(first.sent) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// restoreQuota: the store comes back from a copy that is older than the system's first
// writes, then hosts are added while two tenants use their quota.
func restoreQuota(record string) {
	const rate, burst, window = 100, 200, 5 * time.Second
	l := newLab(record, "zone-a")
	q := &quotaRun{lab: l, sent: map[string]time.Time{}, ran: map[string][]span{}}
	rules := []rule{{"r-read", "safe", "read.example", "/read/", "archive", "4000ms", 1}}
	tenants := []tenant{{"tenant-0", []string{"key00000000000000000"}, rate, burst}, {"tenant-1", []string{"key00000000000000001"}, rate, burst}}
	l.store.put("op/config", config(11, tenants, rules))
	var servers []*backend
	for n := range 4 {
		servers = append(servers, l.startBackend(fmt.Sprintf("i-%d", n), "archive", 60, q.answer))
	}
	time.Sleep(500 * time.Millisecond) // a copy holds the above
	for range 3 {
		l.addHost("zone-a").begin()
	}
	first := l.hosts[0]
	l.awaitReady(30 * time.Second)
	time.Sleep(time.Second)
	if l.trouble {
		l.store.stop()
		l.record("store", "-", "away")
		time.Sleep(time.Second)
		age := time.Since(first.begun) + 100*time.Millisecond
		l.store.restore(age)
		l.record("store", "-", "back from a copy that is %.1f s old", age.Seconds())
	}
	for _, b := range servers {
		b.register("ready")
	}
	l.store.put("op/config", config(11, tenants, rules))
	time.Sleep(300 * time.Millisecond)
	added := []*host{l.addNamedHost("zone-a", l.nameBefore("zone-a", 0)), l.addNamedHost("zone-a", l.nameBefore("zone-a", 1))}
	for _, h := range added {
		h.begin()
	}
	until := time.Now().Add(10 * time.Second)
	var wg sync.WaitGroup
	for _, t := range tenants {
		for range 12 {
			wg.Go(func() { q.press(first, t.keys[0], until) })
		}
		for _, h := range added {
			for range 4 {
				wg.Go(func() { q.press(h, t.keys[0], until) })
			}
		}
	}
	wg.Wait()
	l.recordLater(tenants, 16*time.Second)
	q.judge(rate, burst, window)
	l.end()
}

// recordLater records how each host answers the tenants after a calm time.
func (l *lab) recordLater(tenants []tenant, calm time.Duration) {
	time.Sleep(calm)
	for _, h := range l.hosts {
		for _, t := range tenants {
			count := map[int]int{}
			for range 10 {
				r := request{id: newID(), method: "GET", host: "read.example", path: "/read/1", key: t.keys[0], deadline: 2 * time.Second}
				count[l.send(h, r).status]++
			}
			l.record("later", "-", "%s answers %s after %v of calm, by status: %v", h.name, t.name, calm, count)
		}
	}
}

// judge checks each tenant against the rule QUOTA.
func (q *quotaRun) judge(rate, burst float64, window time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	allowed := int((rate*window.Seconds()+burst)*1.1) + 20
	for name, spans := range q.ran {
		n := most(spans, window)
		q.lab.record("count", "-", "%s: %d requests sent and run within %v, %d allowed", name, n, window, allowed)
		if n > allowed {
			q.lab.fail("QUOTA: %s had %d requests sent and run within %v, %d are allowed", name, n, window, allowed)
		}
	}
}
