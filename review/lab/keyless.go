package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// playKeyless sends a configuration without tenants, under which requests carry no
// key. The clients stop sending keys once it has to be in force. DENIED is checked.
// Without the trouble the configuration keeps its tenants, and the clients their
// key.
func playKeyless(f *fleet, trouble bool) (bool, error) {
	const (
		service = "ringbook"
		key     = "key-of-a-field-station-4711"
	)
	for i := range 6 {
		b, err := newBackend(f, fmt.Sprintf("i-%02d", i), service, zones[i%len(zones)], 6, 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		if err := b.start(); err != nil {
			return false, err
		}
	}
	tenants := []tenant{{name: "stations", keys: []string{key}}}
	rules := []rule{{host: "birds.example", name: "lookup", kind: "safe", prefix: "/ring/", service: service, timeout: "4000ms", attempts: 2}}
	f.store.put("op/config", document("r3", []string{service}, tenants, rules))
	if err := f.addHosts(8); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	c := newClients(f)
	stop := make(chan struct{})
	var isKeyless atomic.Bool
	go c.run(60, stop, func(int) call {
		d := call{name: "lookup", method: "GET", hostname: "birds.example", path: "/ring/7", key: key, deadline: 4 * time.Second}
		if isKeyless.Load() {
			d.key = ""
		}
		return d
	})
	time.Sleep(4 * time.Second)
	next := document("r7", []string{service}, tenants, rules)
	if trouble {
		delete(next, "tenants")
	}
	f.store.put("op/config", next)
	f.rec.say("r7 is acknowledged, with tenants: %v", !trouble)
	time.Sleep(configApply + time.Second)
	isKeyless.Store(trouble)
	time.Sleep(10 * time.Second)
	close(stop)
	c.wait.Wait()
	counts := make(map[int]int)
	for _, r := range c.requests {
		counts[r.status]++
	}
	denied := counts[401] + counts[403] + counts[404]
	bound := 5 + float64(len(c.requests))/500
	f.rec.say("%d requests, by status %v; %d are denied, DENIED allows %.1f", len(c.requests), counts, denied, bound)
	return float64(denied) > bound, nil
}
