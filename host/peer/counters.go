package peer

import (
	"net"
	"sync/atomic"
)

// Counters are counts since the start of the process, except Links.
type Counters struct {
	BytesSent     uint64 // over TCP, TLS included
	BytesReceived uint64
	Sent          uint64 // messages written
	Received      uint64 // messages delivered to the reducer
	Dropped       uint64 // messages not written: queue full, no link, too old
	Stale         uint64 // messages received later than maxTransitTime
	Refused       uint64 // incoming links dropped: invalid message or identity, or too many links
	Links         int64  // open links, both directions
	// Kinds counts the messages of each type, in the order of kinds.
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
	kinds                    []kindCounters // indexed like the package's kinds
	bytesSent, bytesReceived atomic.Uint64
	sent, received, dropped  atomic.Uint64
	stale, refused           atomic.Uint64
	links                    atomic.Int64
}

func (c *counters) snapshot() Counters {
	return Counters{
		BytesSent:     c.bytesSent.Load(),
		BytesReceived: c.bytesReceived.Load(),
		Sent:          c.sent.Load(),
		Received:      c.received.Load(),
		Dropped:       c.dropped.Load(),
		Stale:         c.stale.Load(),
		Refused:       c.refused.Load(),
		Links:         c.links.Load(),
		Kinds:         c.snapshotKinds(),
	}
}

func (c *counters) snapshotKinds() []KindCounters {
	counts := make([]KindCounters, len(kinds))
	for i := range kinds {
		counts[i] = KindCounters{
			Name:      kinds[i].messageType.Name(),
			Sent:      c.kinds[i].sent.Load(),
			BytesSent: c.kinds[i].bytesSent.Load(),
			Received:  c.kinds[i].received.Load(),
		}
	}
	return counts
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters *counters
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesReceived.Add(uint64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesSent.Add(uint64(n))
	return n, err
}
