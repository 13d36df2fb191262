package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backend is a stand-in of a backend server.
type backend struct {
	id, service, zone, address string
	slots                      int
	lab                        *lab
	listener                   net.Listener
	// answer handles a request that expects this server, on its connection. It
	// returns false to close the connection.
	answer func(b *backend, c *serverConn, r *http.Request) bool

	mu   sync.Mutex
	runs int
}

// serverConn is a connection to a backend.
type serverConn struct {
	net.Conn
	mu    sync.Mutex
	count int // of requests so far
}

// send writes bytes as one write.
func (c *serverConn) send(text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = io.WriteString(c.Conn, text)
}

// startBackend starts a server and registers it in the store.
func (l *lab) startBackend(id, service string, slots int, answer func(*backend, *serverConn, *http.Request) bool) *backend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	b := &backend{id: id, service: service, zone: l.zones[0], address: listener.Addr().String(), slots: slots, lab: l, listener: listener, answer: answer}
	go b.serve()
	b.register("ready")
	return b
}

// register writes the server's entry.
func (b *backend) register(state string) time.Time {
	return b.lab.store.put("servers/"+b.id, map[string]any{
		"address": b.address,
		"info":    map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status":  map[string]any{"state": state, "sequence": 1, "cold_left": "0ms"},
	})
}

func (b *backend) serve() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(&serverConn{Conn: conn})
	}
}

func (b *backend) serveConn(c *serverConn) {
	defer c.Close()
	reader := bufio.NewReader(c.Conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		b.lab.record("arrive", id, "server=%s %s %s tenant=%s", b.id, r.Method, r.RequestURI, r.Header.Get("X-Tenant"))
		c.count++
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
			c.send(fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, b.id))
			continue
		}
		if !b.answer(b, c, r) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// run records that the server runs a request.
func (b *backend) run(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	b.runs++
	b.mu.Unlock()
	b.lab.record("run", r.Header.Get("X-Request-Id"), "server=%s tenant=%s", b.id, r.Header.Get("X-Tenant"))
}

// whole returns a complete answer of the server to a request.
func (b *backend) whole(id string, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\nX-Server-Load: 1,0,%d\r\nContent-Length: %s\r\n\r\n%s",
		status, http.StatusText(status), id, stampOf(b.id, id), b.slots, strconv.Itoa(len(body)), body)
}

func stampOf(server, id string) string { return server + "." + id }

// work is the answer of a sound server that works for a time.
func work(d time.Duration) func(*backend, *serverConn, *http.Request) bool {
	return func(b *backend, c *serverConn, r *http.Request) bool {
		b.run(r)
		time.Sleep(d)
		id := r.Header.Get("X-Request-Id")
		c.send(b.whole(id, http.StatusOK, "answer to "+id))
		return true
	}
}
