package backend

import (
	"slices"
	"time"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/socket"
)

// getIdleConn returns the most recently used idle connection to a server that has not
// carried a request with the ID, or nil if there is none. The most recently used one is
// the least likely to have been closed by the server in the meantime.
func (t *Transport) getIdleConn(server model.ServerID, requestID string) *conn {
	for {
		c := t.takeIdleConn(server, requestID)
		if c == nil {
			return nil
		}
		if socket.Peek(c.rawConn) == socket.Idle {
			c.attachReader()
			return c
		}
		c.close()
	}
}

// takeIdleConn removes a connection from the pool. It passes over those that have carried
// another attempt of the request: a late copy of the response to that attempt could not
// be told from the response to this one.
func (t *Transport) takeIdleConn(server model.ServerID, requestID string) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idleConns[server]
	for i, c := range slices.Backward(conns) {
		if !c.hasCarried(requestID) {
			t.idleConns[server] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// putIdleConn returns a connection to the pool, or closes it if the pool has
// enough connections to its server or the connection is not reusable. The last response on it must have been
// read completely and without errors.
func (t *Transport) putIdleConn(c *conn) {
	c.idleSince = time.Now()
	c.detachReader()
	err := c.tcp.SetDeadline(time.Time{})
	if err != nil || !c.isReusable() || !t.addIdleConn(c) {
		c.close()
	}
}

func (t *Transport) addIdleConn(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idleConns[c.server]
	if t.closed || len(conns) >= t.options.MaxIdlePerServer {
		return false
	}
	t.idleConns[c.server] = append(conns, c)
	if t.pruneTimer == nil {
		t.pruneTimer = time.AfterFunc(t.options.IdleTimeout, t.pruneIdle)
	}
	return true
}

// CloseIdle closes the idle connections to a server.
func (t *Transport) CloseIdle(server model.ServerID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	closeAll(t.idleConns[server])
	delete(t.idleConns, server)
}

// pruneIdle closes the connections that have been idle for IdleTimeout. It
// reschedules itself while idle connections remain, so that each one is closed
// within twice that time.
func (t *Transport) pruneIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	expiry := time.Now().Add(-t.options.IdleTimeout)
	for server, conns := range t.idleConns {
		t.idleConns[server] = pruneConns(conns, expiry)
		if len(t.idleConns[server]) == 0 {
			delete(t.idleConns, server)
		}
	}
	if len(t.idleConns) == 0 || t.closed {
		t.pruneTimer = nil
		return
	}
	t.pruneTimer.Reset(t.options.IdleTimeout)
}

// pruneConns closes the connections that were last used before expiry and
// returns the others.
func pruneConns(conns []*conn, expiry time.Time) []*conn {
	expired := 0
	for expired < len(conns) && conns[expired].idleSince.Before(expiry) {
		expired++
	}
	closeAll(conns[:expired])
	kept := copy(conns, conns[expired:])
	clear(conns[kept:])
	return conns[:kept]
}
