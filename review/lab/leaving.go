package main

import (
	"fmt"
	"time"
)

// playLeaving restarts five of ten servers, one after the other: each reports
// draining, serves on for the drain time, ends, and starts again under its id and
// address. FLOOR is checked once they are sound again.
func playLeaving(f *fleet, trouble bool) (bool, error) {
	const (
		service  = "ringbook"
		key      = "key-of-tenant-one-4711"
		count    = 10
		restarts = 5
		slots    = 6
		work     = 300 * time.Millisecond
		rate     = 160.0
	)
	var backends []*backend
	for i := range count {
		b, err := newBackend(f, fmt.Sprintf("i-%02d", i), service, zones[i%len(zones)], slots, work)
		if err != nil {
			return false, err
		}
		if err := b.start(); err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	f.store.put("op/config", document("r3", []string{service},
		[]tenant{{name: "station", keys: []string{key}}},
		[]rule{{host: "birds.example", name: "lookup", kind: "safe", prefix: "/ring/", service: service, timeout: "4000ms", attempts: 2}}))
	if err := f.addHosts(8); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	c := newClients(f)
	stop := make(chan struct{})
	go c.run(rate, stop, func(int) call {
		return call{name: "lookup", method: "GET", hostname: "birds.example", path: "/ring/7", key: key, deadline: 4 * time.Second}
	})
	time.Sleep(8 * time.Second)
	if trouble {
		for _, b := range backends[:restarts] {
			b.drain()
			time.Sleep(drainBound + time.Second)
			b.stop()
			time.Sleep(time.Second)
			if err := b.start(); err != nil {
				return false, err
			}
			time.Sleep(2 * time.Second)
		}
	} else {
		time.Sleep(restarts * (drainBound + 4*time.Second))
	}
	time.Sleep(2 * stableWindow)
	from := time.Now()
	time.Sleep(15 * time.Second)
	to := time.Now()
	close(stop)
	c.wait.Wait()
	for _, b := range backends {
		f.rec.say("server %s: %d requests in the last 15 s", b.id, b.arrivedBetween(from, to))
	}
	return brokenFloor(f, c, backends, from, to), nil
}

// brokenFloor looks for 2 s in which some, but less than the floor's share, of the
// sound servers get requests while more than a tenth of the requests, but under
// half, are not served. All servers are sound in the whole span.
func brokenFloor(f *fleet, c *clients, backends []*backend, from, to time.Time) bool {
	const window = 2 * time.Second
	broken := 0
	for at := from; at.Add(window).Before(to); at = at.Add(500 * time.Millisecond) {
		used := 0
		for _, b := range backends {
			if b.arrivedBetween(at, at.Add(window)) > 0 {
				used++
			}
		}
		requests := c.between(at, at.Add(window))
		unserved := 0
		for _, r := range requests {
			if !r.isServed() {
				unserved++
			}
		}
		share := float64(unserved) / float64(max(len(requests), 1))
		isBroken := used > 0 && float64(used) < floorShare*float64(len(backends)) && share > 0.1 && share < 0.5
		f.rec.printf("window: %d of %d sound servers get requests, %d of %d requests are not served, broken=%v",
			used, len(backends), unserved, len(requests), isBroken)
		if isBroken {
			broken++
		}
	}
	f.rec.say("FLOOR is broken in %d windows of 2 s", broken)
	return broken > 0
}
