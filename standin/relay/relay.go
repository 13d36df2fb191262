package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

// dialTimeout limits the time to connect to a destination.
const dialTimeout = 2 * time.Second

// Relay holds the rules and the open connections. Create one with New.
type Relay struct {
	mu    sync.Mutex
	rules []Rule
	conns map[*proxiedConn]struct{}
}

// New returns a relay without rules.
func New() *Relay {
	return &Relay{conns: make(map[*proxiedConn]struct{})}
}

// SetRules replaces the rules, also for open connections. The first rule that
// matches a connection applies.
func (r *Relay) SetRules(rules []Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = rules
	for c := range r.conns {
		c.apply(r.firstMatch(c.from, c.to))
	}
}

// Rules returns the rules in force.
func (r *Relay) Rules() []Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules
}

func (r *Relay) ruleFor(from, to string) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstMatch(from, to)
}

func (r *Relay) firstMatch(from, to string) Rule {
	for _, rule := range r.rules {
		if rule.matches(from, to) {
			return rule
		}
	}
	return Rule{}
}

// Serve relays the connections that the listener accepts to an address until ctx
// ends.
func (r *Relay) Serve(ctx context.Context, listener net.Listener, to string) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.handle(ctx, conn, to)
	}
}

// handle relays one connection until it ends.
func (r *Relay) handle(ctx context.Context, conn net.Conn, to string) {
	from := conn.RemoteAddr().(*net.TCPAddr).IP.String()
	if r.ruleFor(from, to).Cut {
		reset(conn)
		return
	}
	destination, err := net.DialTimeout("tcp", to, dialTimeout)
	if err != nil {
		reset(conn)
		return
	}
	c := &proxiedConn{relay: r, from: from, to: to, source: conn, destination: destination}
	r.add(c)
	defer r.remove(c)
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	c.run()
}

func (r *Relay) add(c *proxiedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
	c.apply(r.firstMatch(c.from, c.to))
}

func (r *Relay) remove(c *proxiedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// reset closes a connection with a TCP reset, so that the other end gets an
// error rather than the end of the stream.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
