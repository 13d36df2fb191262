package backend

import (
	"time"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/socket"
)

// take returns the idle connection to a server that was used last, nil if
// there is none. The most recent one is the least likely to be closed by the
// server meanwhile.
func (t *Transport) take(server model.ServerID) *conn {
	for {
		c := t.pop(server)
		if c == nil {
			return nil
		}
		if socket.Look(c.raw) == socket.Quiet {
			c.attachReader()
			return c
		}
		c.close()
	}
}

func (t *Transport) pop(server model.ServerID) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[server]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	c := conns[last]
	conns[last] = nil
	t.idle[server] = conns[:last]
	return c
}

// put keeps a connection whose last exchange ended without doubt, or closes
// it where enough are kept.
func (t *Transport) put(c *conn) {
	c.idleSince = time.Now()
	c.detachReader()
	err := c.tcp.SetDeadline(time.Time{})
	if err != nil || !t.keep(c) {
		c.close()
	}
}

func (t *Transport) keep(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	conns := t.idle[c.server]
	if t.closed || len(conns) >= t.options.IdlePerServer {
		return false
	}
	t.idle[c.server] = append(conns, c)
	if t.prune == nil {
		t.prune = time.AfterFunc(t.options.IdleTimeout, t.pruneIdle)
	}
	return true
}

// pruneIdle closes the connections that were idle for IdleTimeout. It runs
// again while others are left, so that each is closed within twice that time.
func (t *Transport) pruneIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	expiry := time.Now().Add(-t.options.IdleTimeout)
	for server, conns := range t.idle {
		t.idle[server] = pruneConns(conns, expiry)
		if len(t.idle[server]) == 0 {
			delete(t.idle, server)
		}
	}
	if len(t.idle) == 0 || t.closed {
		t.prune = nil
		return
	}
	t.prune.Reset(t.options.IdleTimeout)
}

// pruneConns closes the connections last used before expiry and returns the
// others.
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
