package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["extra-refused"] = extraRefused }

// The doses of the site file: all servers of a service shed 0.55 of their requests, and
// one of two servers sends 0.03 of its answers twice, for 5 s.
const shedShare = 0.55

// sheddingServer sheds a part of its requests. Its answers bear the id of the request.
type sheddingServer struct {
	lab      *lab
	until    func() time.Time
	isPaused bool // asks to be left alone when it sheds
	copies   bool // sends some answers twice

	mu      sync.Mutex
	credit  float64 // of requests to shed
	answers int
	extras  int
	pending map[*serverConn]string // second copies that are due, by connection
}

func (f *sheddingServer) isActive() bool { return f.lab.trouble && time.Now().Before(f.until()) }

// sheds reports whether the server sheds a request.
func (f *sheddingServer) sheds() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.credit += shedShare
	if f.credit < 1 {
		return false
	}
	f.credit--
	return true
}

// count counts an answer; a shed one may come a second time.
func (f *sheddingServer) count(c *serverConn, shed string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answers++
	if shed != "" && f.copies && f.isActive() && float64(f.extras+1) <= extraAnswers*float64(f.answers) {
		f.extras++
		f.pending[c] = shed
	}
}

func (f *sheddingServer) takePending(c *serverConn) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	text := f.pending[c]
	delete(f.pending, c)
	return text
}

func (f *sheddingServer) answer(b *backend, c *serverConn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	late := f.takePending(c)
	if f.sheds() {
		text := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n", id)
		if f.isPaused {
			text += "Retry-After: 2\r\n"
		}
		text += "\r\n"
		f.lab.record("shed", id, "server=%s", b.id)
		c.send(text)
		f.count(c, text)
		return true
	}
	b.run(r)
	if late != "" {
		time.Sleep(workTime / 2)
		f.lab.record("extra", id, "server=%s sends an earlier answer a second time: %q", b.id, late)
		c.send(late)
	}
	time.Sleep(workTime / 2)
	c.send(b.whole(id, http.StatusOK, "answer to "+id))
	f.count(c, "")
	return true
}

// extraRefused: a request is sent to the same server again after that has shed it,
// because the other server has asked to be left alone. The second copy of the first
// answer arrives while the request runs, and bears its id.
func extraRefused(record string) {
	l := newLab(record, "zone-a")
	rules := []rule{{"r-book", "unsafe", ledgerHost, "/book/", "ledger", "5000ms", 2}}
	l.store.put("op/config", config(7, []tenant{{"tenant-1", []string{ledgerKey}, 0, 0}}, rules))
	until := time.Now().Add(time.Hour)
	for n := range 2 {
		f := &sheddingServer{lab: l, until: func() time.Time { return until }, isPaused: n == 1, copies: n == 0, pending: map[*serverConn]string{}}
		l.startBackend(fmt.Sprintf("i-%d", n+1), "ledger", 6, f.answer)
	}
	for range 3 {
		l.addHost("zone-a").begin()
	}
	l.awaitReady(30 * time.Second)
	until = time.Now().Add(extraDuration)
	l.sendAll(until.Add(time.Second), 60, func(l *lab, r request, got result) {
		time.Sleep(workTime) // a run that begins later counts too
		if runs := l.runsOf(r.id); runs > 0 && (got.status == 503 || got.status == 429) {
			l.fail("REFUSED: request %s was answered %d and ran %d times", r.id, got.status, runs)
		}
	})
	l.end()
}
