package peer

import (
	"net"
	"sync/atomic"
)

// Counters count since the start of the process.
type Counters struct {
	BytesSent     uint64 // over TCP, TLS included
	BytesReceived uint64
	Sent          uint64 // messages written
	Received      uint64 // messages handed to the reducer
	Dropped       uint64 // messages not written: queue full, no link, too old
	Stale         uint64 // messages received too late
	Refused       uint64 // incoming links dropped for a broken message or identity
	Links         int64  // open links, both directions
	// Kinds counts the messages of each type, in the order of the wire.
	Kinds []KindCounters
}

// KindCounters count the messages of one type.
type KindCounters struct {
	Name      string
	Sent      uint64
	BytesSent uint64 // before TLS, acknowledgements excluded
	Received  uint64
}

type kindCounters struct{ sent, bytesSent, received atomic.Uint64 }

type counters struct {
	kinds                    []kindCounters // one for each of kinds
	bytesSent, bytesReceived atomic.Uint64
	sent, received, dropped  atomic.Uint64
	stale, refused           atomic.Uint64
	links                    atomic.Int64
}

func (c *counters) read() Counters {
	return Counters{
		BytesSent:     c.bytesSent.Load(),
		BytesReceived: c.bytesReceived.Load(),
		Sent:          c.sent.Load(),
		Received:      c.received.Load(),
		Dropped:       c.dropped.Load(),
		Stale:         c.stale.Load(),
		Refused:       c.refused.Load(),
		Links:         c.links.Load(),
		Kinds:         c.readKinds(),
	}
}

func (c *counters) readKinds() []KindCounters {
	counts := make([]KindCounters, len(kinds))
	for i := range kinds {
		counts[i] = KindCounters{
			Name:      kinds[i].of.Name(),
			Sent:      c.kinds[i].sent.Load(),
			BytesSent: c.kinds[i].bytesSent.Load(),
			Received:  c.kinds[i].received.Load(),
		}
	}
	return counts
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	counters *counters
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesReceived.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesSent.Add(uint64(n))
	return n, err
}
