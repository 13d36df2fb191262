package main

import (
	"fmt"
	"time"
)

// playConfig sends a configuration that moves a route to another service, takes a
// key away and adds a route for a host name of more than 64 characters. Without
// the trouble the host name is shorter. CONFIG is checked.
func playConfig(f *fleet, trouble bool) (bool, error) {
	const (
		oldService = "returndesk"
		newService = "returndesk-b"
		goodKey    = "key-of-tenant-one-4711"
		lostKey    = "key-of-tenant-one-0815"
		moved      = "/return/"
		added      = "/season/"
	)
	for i, service := range []string{oldService, newService, oldService, newService, oldService, newService} {
		b, err := newBackend(f, fmt.Sprintf("i-%02d", i), service, zones[i%len(zones)], 6, 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		if err := b.start(); err != nil {
			return false, err
		}
	}
	services := []string{oldService, newService}
	route := rule{host: "birds.example", name: "filing", kind: "unsafe", prefix: moved, service: oldService, timeout: "5000ms", attempts: 2}
	f.store.put("op/config", document("r3", services,
		[]tenant{{name: "station", keys: []string{goodKey, lostKey}}}, []rule{route}))
	if err := f.addHosts(8); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	hostname := "exports.ringtrail.example"
	if trouble {
		hostname = "season-exports.partner-institutes.ring-returns.records.ringtrail.example"
	}
	c := newClients(f)
	stop := make(chan struct{})
	calls := []call{
		{name: "moved route", method: "POST", hostname: "birds.example", path: moved + "7", key: goodKey},
		{name: "key taken away", method: "POST", hostname: "birds.example", path: moved + "8", key: lostKey},
		{name: "added route", method: "GET", hostname: hostname, path: added + "9", key: goodKey},
	}
	go c.run(60, stop, func(n int) call {
		next := calls[n/len(f.hosts)%len(calls)]
		next.deadline = 4 * time.Second
		return next
	})
	time.Sleep(6 * time.Second)
	route.service = newService
	export := rule{host: hostname, name: "exports", kind: "safe", prefix: added, service: newService, timeout: "4000ms", attempts: 2}
	acked := f.store.put("op/config", document("r7", services,
		[]tenant{{name: "station", keys: []string{goodKey}}}, []rule{route, export}))
	f.rec.say("r7 is acknowledged; its added route is for a host name of %d characters", len(hostname))
	time.Sleep(15 * time.Second)
	end := time.Now()
	close(stop)
	c.wait.Wait()
	return brokenConfig(f, c, acked.Add(configApply), end, oldService), nil
}

// brokenConfig counts the requests that were handled as only the older version
// allows, of those that were sent after its time.
func brokenConfig(f *fleet, c *clients, from, to time.Time, oldService string) bool {
	counts := make(map[string]int)
	broken := 0
	for _, r := range c.between(from, to) {
		outcome := fmt.Sprintf("%s: %d", r.name, r.status)
		isOld := false
		switch r.name {
		case "moved route":
			isOld = r.isServed() && f.serviceOf(r) == oldService
		case "key taken away":
			isOld = r.isServed()
		case "added route":
			isOld = r.status == 401 || r.status == 403 || r.status == 404
		}
		if isOld {
			outcome += ", as only the older version allows"
			broken++
		}
		counts[outcome]++
	}
	for outcome, n := range counts {
		f.rec.say("sent later than config_apply: %s: %d requests", outcome, n)
	}
	return broken > 0
}
