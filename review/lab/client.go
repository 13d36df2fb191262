package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"time"
)

// request is one client attempt and its outcome.
type request struct {
	id      string
	host    *host
	sentAt  time.Time
	endedAt time.Time
	status  int // 0: the connection ended without an answer
	stamped bool
	server  string // that stamped the answer
	name    string
	whole   bool
}

// call describes a request to send.
type call struct {
	name     string // for the record
	method   string
	hostname string
	path     string
	key      string
	body     []byte
	deadline time.Duration
	// bytesPerSecond is the speed at which the body is sent; 0: no limit.
	bytesPerSecond float64
}

// pacedReader reads a body at a steady speed.
type pacedReader struct {
	io.Reader
	bytesPerSecond float64
	start          time.Time
	read           int
}

func (p *pacedReader) Read(buffer []byte) (int, error) {
	due := p.start.Add(time.Duration(float64(p.read) / p.bytesPerSecond * float64(time.Second)))
	time.Sleep(time.Until(due))
	n, err := p.Reader.Read(buffer)
	p.read += n
	return n, err
}

func (d call) reader() io.Reader {
	if d.bytesPerSecond == 0 {
		return bytes.NewReader(d.body)
	}
	return &pacedReader{Reader: bytes.NewReader(d.body), bytesPerSecond: d.bytesPerSecond, start: time.Now()}
}

// clients sends requests, each on a new connection to a host of its choice.
type clients struct {
	fleet *fleet
	http  *http.Client
	wait  sync.WaitGroup

	mu       sync.Mutex
	requests []*request
}

func newClients(f *fleet) *clients {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &clients{fleet: f, http: &http.Client{Transport: transport}}
}

// send sends a request to a host and waits for its answer.
func (c *clients) send(h *host, d call) *request {
	r := &request{id: fmt.Sprintf("%016x", rand.Uint64()), host: h, name: d.name}
	c.mu.Lock()
	c.requests = append(c.requests, r)
	r.sentAt = time.Now()
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), d.deadline)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, d.method, "http://"+h.caller+d.path, d.reader())
	if err != nil {
		panic(err)
	}
	out.Host = d.hostname
	out.ContentLength = int64(len(d.body))
	out.Header.Set("X-Request-Id", r.id)
	out.Header.Set("X-Deadline-Ms", fmt.Sprint(d.deadline.Milliseconds()))
	if d.key != "" {
		out.Header.Set("Authorization", "Bearer "+d.key)
	}
	c.fleet.rec.printf("client sends %s (%s) %s %s%s to %s", r.id, d.name, d.method, d.hostname, d.path, h.name)
	status, stamp, whole := 0, "", false
	response, err := c.http.Do(out)
	if err == nil {
		_, readErr := io.Copy(io.Discard, response.Body)
		response.Body.Close()
		status, stamp, whole = response.StatusCode, response.Header.Get("X-Server-Stamp"), readErr == nil
		c.fleet.rec.printf("client gets %d to %s (%s) stamp=%q whole=%v", status, r.id, d.name, stamp, whole)
	} else {
		c.fleet.rec.printf("client gets no answer to %s (%s): %v", r.id, d.name, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.status, r.stamped, r.whole, r.endedAt = status, stamp != "", whole, time.Now()
	if parts := strings.Split(stamp, "."); len(parts) == 3 {
		r.server = parts[1]
	}
	return r
}

// sendAsync is send without waiting.
func (c *clients) sendAsync(h *host, d call) {
	c.wait.Add(1)
	go func() {
		defer c.wait.Done()
		c.send(h, d)
	}()
}

// run sends calls at a steady rate to the hosts in turn until stop is closed.
func (c *clients) run(perSecond float64, stop <-chan struct{}, next func(n int) call) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
			c.sendAsync(c.fleet.hosts[n%len(c.fleet.hosts)], next(n))
		case <-stop:
			return
		}
	}
}

// between returns the requests that were sent in a span.
func (c *clients) between(from, to time.Time) []*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []*request
	for _, r := range c.requests {
		if !r.sentAt.Before(from) && r.sentAt.Before(to) {
			found = append(found, r)
		}
	}
	return found
}

func (r *request) isServed() bool { return r.status >= 200 && r.status < 300 && r.stamped && r.whole }
