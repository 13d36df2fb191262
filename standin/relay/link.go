package relay

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pieceSize = 32 << 10 // bytes read at a time
	inTransit = 256      // pieces that are delayed at a time
)

// link is one relayed connection.
type link struct {
	relay     *Relay
	from, to  string
	near, far net.Conn
	lost      [2]atomic.Bool // bytes were dropped in this direction
}

// piece is some bytes and when they are due.
type piece struct {
	data []byte
	due  time.Time
}

// apply ends the link where the rule cuts it, or no longer drops a direction
// whose stream already has a gap.
func (l *link) apply(rule Rule) {
	healed := false
	for _, d := range []direction{forward, back} {
		healed = healed || (l.lost[d].Load() && !rule.drops(d))
	}
	if rule.Cut || healed {
		l.close()
	}
}

func (l *link) close() {
	reset(l.near)
	reset(l.far)
}

func (l *link) run() {
	var ways sync.WaitGroup
	ways.Go(func() { l.carry(l.near, l.far, forward) })
	ways.Go(func() { l.carry(l.far, l.near, back) })
	ways.Wait()
	l.close()
}

// carry moves the bytes of one direction. An end of the stream is passed on
// unless the direction has a gap; the other direction may go on.
func (l *link) carry(from, to net.Conn, d direction) {
	pieces := make(chan piece, inTransit)
	go func() {
		defer close(pieces)
		l.read(from, pieces, d)
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			l.close()
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok && !l.lost[d].Load() {
		tcp.CloseWrite()
	}
}

func (l *link) read(from net.Conn, pieces chan<- piece, d direction) {
	var stalled float64
	buffer := make([]byte, pieceSize)
	for {
		n, err := from.Read(buffer)
		if err == io.EOF {
			return
		}
		if err != nil {
			l.close()
			return
		}
		rule := l.relay.rule(l.from, l.to)
		if rule.drops(d) {
			l.lost[d].Store(true)
			continue
		}
		if l.lost[d].Load() {
			l.close()
			return
		}
		data := append([]byte(nil), buffer[:n]...)
		pieces <- piece{data: data, due: time.Now().Add(rule.delay(&stalled))}
	}
}
