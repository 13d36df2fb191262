package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["extra-shed"] = extraShed
	cases["extra-bytes"] = extraBytes
}

// The dose of a late second answer in the site file: 0.6 of the servers, 0.03 of their
// answers, for 5 s.
const (
	extraServers  = 3 // of 5
	extraAnswers  = 0.03
	extraDuration = 5 * time.Second
)

// shedAnswer is that of a server which sheds a request, as `fleetbench wire` shows it.
const shedAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

// healthAnswer is that of a health path, as `fleetbench wire` shows it.
const healthAnswer = "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nX-Server-Load: 1,0,%d\r\nContent-Length: 2\r\n\r\nok"

const (
	ledgerHost = "ledger.example"
	ledgerKey  = "xd9dnn2ctnfzs989anu6"
)

// faultyServer is a server that is sound but for bytes that it sends after an answer, at
// the point where the next one is expected.
type faultyServer struct {
	lab      *lab
	until    func() time.Time // end of the fault
	isFaulty bool
	slots    int
	// follows says whether an answer is followed by extra bytes; extra returns them.
	followsShed bool
	extra       func(*backend) string

	mu      sync.Mutex
	running int
	answers int
	extras  int
	pending map[*serverConn]bool // connections on which extra bytes are due
}

// shed reports whether the server is full, and takes a slot otherwise.
func (f *faultyServer) shed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running >= f.slots {
		return true
	}
	f.running++
	return false
}

// finish counts an answer on a connection and decides whether extra bytes follow it.
func (f *faultyServer) finish(c *serverConn, isShed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !isShed {
		f.running--
	}
	f.answers++
	isDue := f.isFaulty && f.lab.trouble && time.Now().Before(f.until()) && isShed == f.followsShed
	if isDue && float64(f.extras+1) <= extraAnswers*float64(f.answers) {
		f.extras++
		f.pending[c] = true
	}
}

// takePending reports whether extra bytes are due on a connection.
func (f *faultyServer) takePending(c *serverConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	isPending := f.pending[c]
	delete(f.pending, c)
	return isPending
}

const workTime = 150 * time.Millisecond

func (f *faultyServer) answer(b *backend, c *serverConn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	if f.shed() {
		f.lab.record("shed", id, "server=%s", b.id)
		c.send(shedAnswer)
		f.finish(c, true)
		return true
	}
	b.run(r)
	if f.takePending(c) {
		time.Sleep(workTime / 2)
		bytes := f.extra(b)
		f.lab.record("extra", id, "server=%s sends bytes of no request: %q", b.id, bytes)
		c.send(bytes)
	}
	time.Sleep(workTime / 2)
	c.send(b.whole(id, http.StatusOK, "answer to "+id))
	f.finish(c, false)
	return true
}

// runExtra plays the fault while clients send requests that may run once at most, and
// calls check for each.
func runExtra(record string, slots [5]int, followsShed bool, extra func(*backend) string, check func(*lab, request, result)) {
	l := newLab(record, "zone-a")
	rules := []rule{{"r-book", "unsafe", ledgerHost, "/book/", "ledger", "5000ms", 2}}
	l.store.put("op/config", config(7, []tenant{{"tenant-1", []string{ledgerKey}, 0, 0}}, rules))
	until := time.Now().Add(time.Hour)
	for n := range 5 {
		f := &faultyServer{lab: l, until: func() time.Time { return until }, isFaulty: n < extraServers, slots: slots[n], followsShed: followsShed, extra: extra, pending: map[*serverConn]bool{}}
		l.startBackend(fmt.Sprintf("i-%d", n+1), "ledger", slots[n], f.answer)
	}
	for range 3 {
		l.addHost("zone-a").begin()
	}
	l.awaitReady(30 * time.Second)
	until = time.Now().Add(extraDuration)
	l.sendAll(until.Add(time.Second), 54, check)
	l.end()
}

// sendAll has a number of clients send one request after the other until an instant.
func (l *lab) sendAll(end time.Time, clients int, check func(*lab, request, result)) {
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				r := request{id: id, method: "POST", host: ledgerHost, path: "/book/1", key: ledgerKey, body: "deposit " + id, deadline: 5 * time.Second}
				check(l, r, l.send(l.hosts[n%len(l.hosts)], r))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wg.Wait()
}

// extraShed: the second copy of an answer that sheds a request arrives while the next
// request on the connection runs.
func extraShed(record string) {
	copyOfShed := func(*backend) string { return shedAnswer }
	runExtra(record, [5]int{4, 4, 4, 24, 24}, true, copyOfShed, func(l *lab, r request, got result) {
		if runs := l.runsOf(r.id); runs > 1 {
			l.fail("TWICE: request %s ran %d times; its client got %d", r.id, runs, got.status)
		}
	})
}

// extraBytes: bytes that belong to no request arrive while the next request on the
// connection runs.
func extraBytes(record string) {
	health := func(b *backend) string { return fmt.Sprintf(healthAnswer, b.id, b.slots) }
	runExtra(record, [5]int{60, 60, 60, 60, 60}, false, health, func(l *lab, r request, got result) {
		isSuccess := got.err == nil && got.status/100 == 2
		if isSuccess && !strings.HasSuffix(got.header.Get("X-Server-Stamp"), "."+r.id) {
			l.fail("MIXED: request %s got %d with body %q and stamp %q", r.id, got.status, got.body, got.header.Get("X-Server-Stamp"))
		}
	})
}
