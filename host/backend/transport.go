package backend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

// WholeAnswer is the size in bytes up to which an answer is read whole before
// the attempt ends. Larger answers are streamed.
const WholeAnswer = 1 << 20

// Clock tells the process's time as the reducer sees it.
type Clock interface {
	Now() model.Instant
	Time(model.Instant) time.Time
}

// Options are the limits of a Transport. Zero values mean the defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection. Default 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. Default 30 s.
	IdleTimeout time.Duration
	// IdlePerServer is how many unused connections are kept for each server.
	// Default 4.
	IdlePerServer int
	// MaxHeader bounds the header of an answer, in bytes. Default 16 KiB.
	MaxHeader int
	// Dialect is how servers spell the fleet's fields. Default: wire.Own.
	Dialect wire.Dialect
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = 500 * time.Millisecond
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.IdlePerServer <= 0 {
		o.IdlePerServer = 4
	}
	if o.MaxHeader <= 0 {
		o.MaxHeader = 16 << 10
	}
	o.Dialect = o.Dialect.OrOwn()
	return o
}

// Transport owns the connections to backend servers. It is safe for
// concurrent use. Make it with New.
type Transport struct {
	clock   Clock
	options Options
	// readers are the read buffers of connections in use. An idle connection
	// needs none. A header has to fit in one.
	readers sync.Pool

	mu     sync.Mutex
	idle   map[model.ServerID][]*conn // in the order of their last use
	prune  *time.Timer                // runs while there are idle connections
	closed bool
}

// New returns a transport without connections.
func New(clock Clock, options Options) *Transport {
	t := &Transport{
		clock:   clock,
		options: options.withDefaults(),
		idle:    map[model.ServerID][]*conn{},
	}
	t.readers.New = func() any { return bufio.NewReaderSize(nil, t.options.MaxHeader) }
	return t
}

// Close closes the idle connections and keeps none from now on. Running
// attempts are not disturbed.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.prune != nil {
		t.prune.Stop()
	}
	for server, conns := range t.idle {
		closeAll(conns)
		delete(t.idle, server)
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

// dial opens a connection before deadline.
func (t *Transport) dial(server model.ServerID, deadline time.Time) (*conn, error) {
	dialer := net.Dialer{
		Timeout:  t.options.DialTimeout,
		Deadline: deadline,
	}
	c, err := dialer.Dial("tcp", server.Address())
	if err != nil {
		return nil, err
	}
	return newConn(server, c.(*net.TCPConn), &t.readers), nil
}
