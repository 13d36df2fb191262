package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a stand-in of a backend server: it runs slots requests at a time,
// queues a few more and rejects the others.
type backend struct {
	fleet   *fleet
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	// fails, if set, says that a request fails: the server works on it for half the
	// time and closes the connection without an answer.
	fails func(r *http.Request) bool

	mu       sync.Mutex
	server   *http.Server
	stopBeat chan struct{}
	slotFree chan struct{}
	running  int
	waiting  int
	state    string
	born     int64
	sequence int
	soundAt  time.Time   // of this start
	arrivals []time.Time // of requests that were sent to this server
}

func newBackend(f *fleet, id, service, zone string, slots int, work time.Duration) (*backend, error) {
	ip := f.nextIP()
	ports, err := freePorts(ip, 1)
	if err != nil {
		return nil, err
	}
	f.services[id] = service
	return &backend{
		fleet: f, id: id, service: service, zone: zone, slots: slots, work: work,
		address: fmt.Sprintf("%s:%d", ip, ports[0]),
	}, nil
}

// start starts the server under its id and address. Nothing of an earlier start
// is known to it.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.state, b.sequence, b.born = "ready", 0, time.Now().UnixMilli()
	b.running, b.waiting = 0, 0
	b.slotFree = make(chan struct{}, b.slots)
	b.stopBeat = make(chan struct{})
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	b.soundAt = time.Now()
	server, stop := b.server, b.stopBeat
	b.mu.Unlock()
	go server.Serve(listener)
	b.report()
	go func() {
		for {
			select {
			case <-time.After(1500 * time.Millisecond):
				b.report()
			case <-stop:
				return
			}
		}
	}()
	b.fleet.rec.printf("server %s (%s) started at %s", b.id, b.service, b.address)
	return nil
}

// report writes the server's entry to the store.
func (b *backend) report() {
	b.mu.Lock()
	b.sequence++
	entry := map[string]any{
		"address": b.address,
		"info":    map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status":  map[string]any{"state": b.state, "sequence": b.sequence, "cold_left": "0ms"},
		"born":    b.born,
	}
	b.mu.Unlock()
	b.fleet.store.put("servers/"+b.id, entry)
}

// drain reports that the server is leaving.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.report()
	b.fleet.rec.printf("server %s reports draining", b.id)
}

// stop ends the server after it has finished its requests, and removes its entry.
func (b *backend) stop() {
	b.mu.Lock()
	close(b.stopBeat)
	server := b.server
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	server.Shutdown(ctx)
	server.Close()
	b.fleet.store.remove("servers/" + b.id)
	b.fleet.rec.printf("server %s has left", b.id)
}

func (b *backend) isLeaving() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state != "ready"
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Id", b.id)
	if b.isLeaving() {
		header.Set("Server-Leaving", "1")
	}
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		header.Set("X-Request-Id", id)
	}
	io.Copy(io.Discard, r.Body)
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != b.id:
		header.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		header.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, time.Now())
	b.mu.Unlock()
	if !b.acquire(r) {
		header.Set("X-Not-Run", "1")
		header.Set("X-Server-Load", b.load())
		b.fleet.rec.printf("server %s is full and rejects %s", b.id, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.fleet.rec.printf("server %s (%s) runs %s tenant=%q %s %s", b.id, b.service, id, r.Header.Get("X-Tenant"), r.Method, r.URL.Path)
	b.fleet.noteRun(id)
	if b.fails != nil && b.fails(r) {
		b.failRequest(w, id)
		return
	}
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
	}
	header.Set("X-Server-Load", b.load())
	header.Set("X-Server-Stamp", "stamp."+b.id+"."+id)
	b.release()
	fmt.Fprintf(w, "answer of %s to %s\n", b.id, id)
}

// failRequest gives up a running request and breaks off the connection.
func (b *backend) failRequest(w http.ResponseWriter, id string) {
	time.Sleep(b.work / 2)
	b.release()
	b.fleet.rec.printf("server %s fails %s", b.id, id)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		conn.Close()
	}
}

const queueLength = 24

// acquire waits for a slot. It returns false if the queue is full or the client
// has left.
func (b *backend) acquire(r *http.Request) bool {
	b.mu.Lock()
	if b.waiting >= queueLength {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	slotFree := b.slotFree
	b.mu.Unlock()
	ok := true
	select {
	case slotFree <- struct{}{}:
	case <-r.Context().Done():
		ok = false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if ok {
		b.running++
	}
	return ok
}

func (b *backend) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	<-b.slotFree
}

func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots)
}

// arrivedBetween returns how many requests arrived in a span.
func (b *backend) arrivedBetween(from, to time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, at := range b.arrivals {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}
