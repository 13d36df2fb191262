package backend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

// MaxBufferedBody is the largest response body, in bytes, that is read
// completely before the attempt ends. Larger bodies are streamed.
const MaxBufferedBody = 1 << 20

// Clock provides the process time, which the reducer uses, and converts it to
// wall-clock time.
type Clock interface {
	Now() model.Instant
	Time(model.Instant) time.Time
}

// Options are the limits of a Transport. Zero values mean the defaults.
type Options struct {
	// DialTimeout is the timeout for opening a connection. Default 500 ms.
	DialTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It is closed within
	// twice that time. Default 30 s.
	IdleTimeout time.Duration
	// MaxIdlePerServer is the maximum number of idle connections per server.
	// Default 4.
	MaxIdlePerServer int
	// MaxHeaderBytes is the maximum size of a response header, in bytes.
	// Default 16 KiB.
	MaxHeaderBytes int
	// Dialect defines the header fields that the fleet exchanges with servers.
	// Default: wire.DefaultDialect.
	Dialect wire.Dialect
}

func (o Options) withDefaults() Options {
	if o.DialTimeout <= 0 {
		o.DialTimeout = 500 * time.Millisecond
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = 30 * time.Second
	}
	if o.MaxIdlePerServer <= 0 {
		o.MaxIdlePerServer = 4
	}
	if o.MaxHeaderBytes <= 0 {
		o.MaxHeaderBytes = 16 << 10
	}
	o.Dialect = o.Dialect.OrDefault()
	return o
}

// Transport is a pool of connections to backend servers. It is safe for
// concurrent use. Create it with New.
type Transport struct {
	clock   Clock
	options Options
	// readerPool holds the read buffers of connections, which need one only
	// while they are in use. A response header has to fit into one buffer.
	readerPool sync.Pool
	memory     responseMemory
	counters   counters

	mu         sync.Mutex
	idleConns  map[model.ServerID][]*conn // by server, least recently used first
	pruneTimer *time.Timer                // nil unless pruneIdle is scheduled
	closed     bool
}

// New returns a Transport without open connections.
func New(clock Clock, options Options) *Transport {
	t := &Transport{
		clock:     clock,
		options:   options.withDefaults(),
		idleConns: map[model.ServerID][]*conn{},
	}
	t.memory.init()
	t.readerPool.New = func() any { return bufio.NewReaderSize(nil, t.options.MaxHeaderBytes) }
	return t
}

// Close closes the idle connections and stops pooling. Running attempts
// continue, and their connections are closed when they end.
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.pruneTimer != nil {
		t.pruneTimer.Stop()
	}
	for server, conns := range t.idleConns {
		closeAll(conns)
		delete(t.idleConns, server)
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

// dial opens a connection. It fails at the deadline.
func (t *Transport) dial(server model.ServerID, deadline time.Time) (*conn, error) {
	dialer := net.Dialer{
		Timeout:  t.options.DialTimeout,
		Deadline: deadline,
	}
	c, err := dialer.Dial("tcp", server.Address())
	if err != nil {
		return nil, err
	}
	t.counters.opened.Add(1)
	return newConn(server, c.(*net.TCPConn), &t.readerPool), nil
}
