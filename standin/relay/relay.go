package relay

import (
	"context"
	"net"
	"sync"
	"time"
)

// dialTimeout bounds a connection to the side that is relayed to.
const dialTimeout = 2 * time.Second

// Relay holds the rules and the open connections. Make it with New.
type Relay struct {
	mu    sync.Mutex
	rules []Rule
	links map[*link]struct{}
}

// New returns a relay without rules.
func New() *Relay {
	return &Relay{links: make(map[*link]struct{})}
}

// SetRules replaces the rules. The first that matches a link applies.
func (r *Relay) SetRules(rules []Rule) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rules = rules
	for l := range r.links {
		l.apply(r.find(l.from, l.to))
	}
}

// Rules returns the rules in force.
func (r *Relay) Rules() []Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules
}

func (r *Relay) rule(from, to string) Rule {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(from, to)
}

func (r *Relay) find(from, to string) Rule {
	for _, rule := range r.rules {
		if rule.matches(from, to) {
			return rule
		}
	}
	return Rule{}
}

// Serve relays what the listener accepts to an address until ctx ends.
func (r *Relay) Serve(ctx context.Context, listener net.Listener, to string) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.relay(ctx, conn, to)
	}
}

// relay carries one connection until an end closes it.
func (r *Relay) relay(ctx context.Context, conn net.Conn, to string) {
	from := conn.RemoteAddr().(*net.TCPAddr).IP.String()
	if r.rule(from, to).Cut {
		reset(conn)
		return
	}
	target, err := net.DialTimeout("tcp", to, dialTimeout)
	if err != nil {
		reset(conn)
		return
	}
	l := &link{relay: r, from: from, to: to, near: conn, far: target}
	r.add(l)
	defer r.remove(l)
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	l.run()
}

func (r *Relay) add(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[l] = struct{}{}
	l.apply(r.find(l.from, l.to))
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// reset closes a connection so that the other end gets an error rather than
// an end of stream.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
