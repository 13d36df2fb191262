package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// memoryLimit is memory_mb of the small deployments.
	memoryLimit = 284 << 20
	// linkBytesPerSecond is link_mbps of the small deployments.
	linkBytesPerSecond = 1000e6 / 8
)

// residentMemory returns the memory of the host's process in bytes, 0 if it does
// not run.
func (h *host) residentMemory() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// memoryGuard acts as the platform for one host: it kills a process that exceeds
// the limit and starts it again after a short delay.
type memoryGuard struct {
	host  *host
	peak  int64
	kills int
	stop  chan struct{}
	done  chan struct{}
}

func guardMemory(h *host) *memoryGuard {
	g := &memoryGuard{host: h, stop: make(chan struct{}), done: make(chan struct{})}
	go g.run()
	return g
}

func (g *memoryGuard) run() {
	defer close(g.done)
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := g.host.residentMemory()
		g.peak = max(g.peak, used)
		if used > memoryLimit && !g.restart(used) {
			return
		}
	}
}

func (g *memoryGuard) restart(used int64) bool {
	rec := g.host.fleet.rec
	rec.say("host %s uses %d MB, more than its %d MB: the platform kills it", g.host.name, used>>20, memoryLimit>>20)
	g.host.signal(syscall.SIGKILL)
	<-g.host.ended
	g.kills++
	time.Sleep(500 * time.Millisecond)
	if err := g.host.start(); err != nil {
		rec.say("%v", err)
		return false
	}
	return true
}

// playMemory sends bursts of large requests to two hosts, each request within
// max_body_bytes and each burst at the speed of a host's link. FAULT is checked:
// on two machines, processes end by themselves three times. Without the trouble
// each request comes alone.
func playMemory(f *fleet, trouble bool) (bool, error) {
	const (
		service   = "returndesk"
		key       = "key-of-tenant-one-4711"
		bodyBytes = 64_000_000
		perBurst  = 6
		rounds    = 4
		machines  = 2
		ends      = 3
	)
	for i := range 8 {
		b, err := newBackend(f, fmt.Sprintf("i-%02d", i), service, zones[i%len(zones)], 6, 300*time.Millisecond)
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
	var guards []*memoryGuard
	for _, h := range f.hosts {
		guards = append(guards, guardMemory(h))
	}
	c := newClients(f)
	body := make([]byte, bodyBytes)
	filing := call{
		name: "filing", method: "POST", hostname: "birds.example", path: "/return/7", key: key,
		deadline: 5 * time.Second, body: body,
	}
	for range rounds {
		for _, h := range f.hosts[:machines] {
			for !h.isReady() {
				time.Sleep(100 * time.Millisecond)
			}
			if !trouble {
				filing.bytesPerSecond = linkBytesPerSecond
				c.send(h, filing)
				continue
			}
			filing.bytesPerSecond = linkBytesPerSecond / perBurst
			for range perBurst {
				c.sendAsync(h, filing)
			}
			c.wait.Wait()
			time.Sleep(time.Second)
		}
	}
	time.Sleep(time.Second)
	isOver := 0
	for _, g := range guards {
		close(g.stop)
		<-g.done
		f.rec.say("host %s: at most %d MB, killed %d times", g.host.name, g.peak>>20, g.kills)
		if g.kills >= ends {
			isOver++
		}
	}
	unanswered := 0
	for _, r := range c.requests {
		if r.status == 0 {
			unanswered++
		}
	}
	f.rec.say("%d of %d requests end without an answer", unanswered, len(c.requests))
	return isOver >= machines, nil
}
