package frontend

import (
	"sync"
	"sync/atomic"
)

// connPhase says whether a connection waits for a request. Whoever changes the
// phase of a waiting connection decides whether its next request is served or the
// connection is closed, so that a planned stop closes no connection from which a
// request was read.
type connPhase = uint32

const (
	connWaiting connPhase = iota // no byte of the next request was read
	connBusy                     // a request is being read or answered
	connClosed                   // closed by closeIfWaiting or closeAnswered
)

// beginRequest reports false if the connection was closed while it waited. It may
// be called several times for a request.
func (c *callerConn) beginRequest() bool {
	return c.phase.CompareAndSwap(connWaiting, connBusy) || c.phase.Load() == connBusy
}

func (c *callerConn) endRequest() { c.phase.CompareAndSwap(connBusy, connWaiting) }

// closeIfWaiting closes a connection that waits for a request.
func (c *callerConn) closeIfWaiting() {
	if c.phase.CompareAndSwap(connWaiting, connClosed) {
		_ = c.Conn.Close() // the goroutine that reads notices it
	}
}

// openConns is the set of open connections. The zero value is empty.
type openConns struct {
	isClosing atomic.Bool // connections are closed after their responses

	mu    sync.Mutex
	conns map[*callerConn]struct{}
	empty chan struct{} // nil until awaited; closed when no connection is left
}

func (o *openConns) add(c *callerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conns == nil {
		o.conns = make(map[*callerConn]struct{})
	}
	o.conns[c] = struct{}{}
}

func (o *openConns) remove(c *callerConn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.conns, c)
	o.reportEmpty()
}

// allClosed returns a channel that is closed once no connection is open. It is to
// be called once, after the listener was closed.
func (o *openConns) allClosed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.empty = make(chan struct{})
	o.reportEmpty()
	return o.empty
}

// reportEmpty requires o.mu.
func (o *openConns) reportEmpty() {
	if o.empty == nil || len(o.conns) > 0 {
		return
	}
	select {
	case <-o.empty:
	default:
		close(o.empty)
	}
}

// closeWaiting closes the connections that wait for a request.
func (o *openConns) closeWaiting() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.conns {
		c.closeIfWaiting()
	}
}
