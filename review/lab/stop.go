package main

import (
	"fmt"
	"syscall"
	"time"
)

// playStop stops three hosts, one after the other, under load. Each gets SIGTERM,
// and a second SIGTERM one second later. LOST is checked. Without the trouble there
// is no second signal.
func playStop(f *fleet, trouble bool) (bool, error) {
	const (
		service   = "returndesk"
		key       = "key-of-a-field-station-4711"
		perSecond = 24.0
		stops     = 3
		grace     = 6 * time.Second
	)
	for i := range 14 {
		b, err := newBackend(f, fmt.Sprintf("i-%02d", i), service, zones[i%len(zones)], 6, 1500*time.Millisecond)
		if err != nil {
			return false, err
		}
		if err := b.start(); err != nil {
			return false, err
		}
	}
	f.store.put("op/config", document("r3", []string{service},
		[]tenant{{name: "station", keys: []string{key}}},
		[]rule{{host: "birds.example", name: "filing", kind: "unsafe", prefix: "/return/", service: service, timeout: "5000ms", attempts: 2}}))
	if err := f.addHosts(8); err != nil {
		return false, err
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	c := newClients(f)
	stop := make(chan struct{})
	go c.run(perSecond, stop, func(int) call {
		return call{name: "filing", method: "POST", hostname: "birds.example", path: "/return/7", key: key, deadline: 5 * time.Second, body: []byte("a recovered ring")}
	})
	time.Sleep(2 * stableWindow)
	for _, h := range f.hosts[:stops] {
		f.rec.printf("SIGTERM to %s", h.name)
		h.signal(syscall.SIGTERM)
		if trouble {
			time.Sleep(time.Second)
			f.rec.printf("second SIGTERM to %s", h.name)
			h.signal(syscall.SIGTERM)
		}
		select {
		case <-h.ended:
		case <-time.After(grace):
			f.rec.printf("the grace time of %s is over: SIGKILL", h.name)
			h.signal(syscall.SIGKILL)
			<-h.ended
		}
		time.Sleep(500 * time.Millisecond)
		if err := h.start(); err != nil {
			return false, err
		}
		time.Sleep(2 * stableWindow)
	}
	close(stop)
	c.wait.Wait()
	lost := 0
	for _, r := range c.requests {
		if r.status == 0 && f.hasRun(r.id) {
			lost++
			f.rec.printf("LOST: %s was passed on to a server, and its connection to %s ended without an answer after %.3f s",
				r.id, r.host.name, r.endedAt.Sub(r.sentAt).Seconds())
		}
	}
	f.rec.say("%d requests; %d were passed on to a sound server and ended without an answer", len(c.requests), lost)
	return lost > 0, nil
}
