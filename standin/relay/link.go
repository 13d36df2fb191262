package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxChunkBytes    = 32 << 10
	maxWaitingChunks = 256 // in each direction of a connection
)

// proxiedConn is one relayed connection.
type proxiedConn struct {
	relay               *Relay
	from, to            string
	source, destination net.Conn
	hasGap              [2]atomic.Bool // by direction; bytes of the stream were dropped
}

// chunk is data of a stream and the time at which to send it on.
type chunk struct {
	data   []byte
	sendAt time.Time
}

// apply applies a changed rule. It closes the connection where the rule cuts it,
// and where the rule no longer drops a direction whose stream has a gap.
func (c *proxiedConn) apply(rule Rule) {
	dropEnded := false
	for _, d := range []direction{forward, back} {
		dropEnded = dropEnded || (c.hasGap[d].Load() && !rule.drops(d))
	}
	if rule.Cut || dropEnded {
		c.close()
	}
}

func (c *proxiedConn) close() {
	reset(c.source)
	reset(c.destination)
}

func (c *proxiedConn) run() {
	var wg sync.WaitGroup
	wg.Go(func() { c.forwardStream(c.source, c.destination, forward) })
	wg.Go(func() { c.forwardStream(c.destination, c.source, back) })
	wg.Wait()
	c.close()
}

// forwardStream forwards the bytes of one direction until the stream ends. It
// then closes only this direction, as the other one may still be in use, and
// leaves it open if its stream has a gap.
func (c *proxiedConn) forwardStream(from, to net.Conn, d direction) {
	chunks := make(chan chunk, maxWaitingChunks)
	go func() {
		defer close(chunks)
		c.readChunks(from, chunks, d)
	}()
	for ch := range chunks {
		time.Sleep(time.Until(ch.sendAt))
		if _, err := to.Write(ch.data); err != nil {
			c.close()
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && !c.hasGap[d].Load() {
		tcp.CloseWrite()
	}
}

func (c *proxiedConn) readChunks(from net.Conn, chunks chan<- chunk, d direction) {
	var stallDebt float64
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if err == io.EOF {
			return
		}
		if err != nil {
			c.close()
			return
		}
		rule := c.relay.ruleFor(c.from, c.to)
		if rule.drops(d) {
			c.hasGap[d].Store(true)
			continue
		}
		if c.hasGap[d].Load() {
			c.close()
			return
		}
		data := append([]byte(nil), buffer[:n]...)
		chunks <- chunk{data: data, sendAt: time.Now().Add(rule.delay(&stallDebt))}
	}
}
