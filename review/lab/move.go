package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync/atomic"
	"time"
)

// playMove sends six configurations, a second apart. Each moves a key from one
// tenant to another, so that all of them allow the key. As at any time, some
// servers fail a portion of their requests. DENIED is checked. Without the trouble
// the key stays with its tenant.
func playMove(f *fleet, trouble bool) (bool, error) {
	const (
		service   = "ringbook"
		key       = "key-of-a-field-station-4711"
		count     = 12
		perSecond = 120.0
		changes   = 6
	)
	var episode atomic.Int64
	for i := range count {
		b, err := newBackend(f, fmt.Sprintf("i-%02d", i), service, zones[i%len(zones)], 12, 650*time.Millisecond)
		if err != nil {
			return false, err
		}
		b.fails = func(*http.Request) bool {
			isFaulty := (i+int(episode.Load()))%4 == 0
			return isFaulty && rand.Float64() < 0.85
		}
		if err := b.start(); err != nil {
			return false, err
		}
	}
	tenants := []tenant{{name: "stations", keys: []string{key}}, {name: "partners", keys: []string{"key-of-a-partner-0815"}}}
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
	go c.run(perSecond, stop, func(int) call {
		return call{name: "lookup", method: "GET", hostname: "birds.example", path: "/ring/7", key: key, deadline: 4 * time.Second}
	})
	time.Sleep(3 * time.Second)
	for n := range changes {
		if trouble {
			tenants[0].keys, tenants[1].keys = tenants[1].keys, tenants[0].keys
		}
		version := fmt.Sprintf("r%d", 10+2*n)
		f.store.put("op/config", document(version, []string{service}, tenants, rules))
		f.rec.printf("%s is acknowledged: the key belongs to tenant %q", version, ownerOf(tenants, key))
		episode.Add(1)
		time.Sleep(time.Second)
	}
	close(stop)
	c.wait.Wait()
	counts := make(map[int]int)
	denied := 0
	for _, r := range c.requests {
		counts[r.status]++
		if r.status == 401 || r.status == 403 || r.status == 404 {
			denied++
		}
	}
	bound := 5 + float64(len(c.requests))/500
	f.rec.say("%d requests, by status %v; %d are denied, DENIED allows %.1f", len(c.requests), counts, denied, bound)
	return float64(denied) > bound, nil
}

func ownerOf(tenants []tenant, key string) string {
	for _, t := range tenants {
		for _, k := range t.keys {
			if k == key {
				return t.name
			}
		}
	}
	return ""
}
