package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/rpc"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// queueLength bounds the messages that wait for a link; the queues of 650
	// idle links have 1.3 MB.
	queueLength = 256
	// minBackoff and maxBackoff bound the time between two tries to connect.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// link is the connection to one peer and the queue in front of it.
type link struct {
	peers   *Peers
	to      model.HostID
	address string
	queue   chan *queued
	alive   chan struct{} // gets a value when the peer gave a sign of life
	ctx     context.Context
	close   context.CancelFunc
	down    bool // the last use failed; for the goroutine of run
}

// queued is a message and when it was handed over.
type queued struct {
	kind    int
	message message.Message
	at      time.Time
}

func newLink(p *Peers, to model.HostID, address string) *link {
	l := &link{peers: p, to: to, address: address, queue: make(chan *queued, queueLength)}
	l.alive = make(chan struct{}, 1)
	l.ctx, l.close = context.WithCancel(p.ctx)
	return l
}

// push queues a message and reports false when the queue is full.
func (l *link) push(q *queued) bool {
	select {
	case l.queue <- q:
		return true
	default:
		return false
	}
}

// run connects whenever there is something to send, until the link is closed.
func (l *link) run() {
	backoff := minBackoff
	for {
		first, ok := l.await()
		if !ok {
			return
		}
		works, err := l.use(first)
		if errors.Is(err, errIdle) {
			continue
		}
		l.down = l.down && !works
		if works {
			backoff = minBackoff
		}
		l.report(err)
		if !l.pause(backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// use connects and sends until the connection ends. It reports whether the
// peer took anything.
func (l *link) use(first *queued) (works bool, err error) {
	s, err := l.open()
	if err != nil {
		l.peers.counters.dropped.Add(1)
		return false, err
	}
	defer s.end()
	if l.down {
		l.down = false
		l.peers.config.Log.Info().Str("peer", string(l.to)).Str("address", l.address).Msg("link to peer regained")
	}
	err = s.run(first)
	return s.works, err
}

// report logs the first failure in a row. At the target size a lost failure
// domain is a hundred peers, each tried again every 2 s.
func (l *link) report(err error) {
	if l.ctx.Err() == nil && !l.down {
		l.down = true
		l.peers.config.Log.Warn().Str("peer", string(l.to)).Str("address", l.address).Err(err).Msg("no link to peer")
	}
}

// await returns the next message, false when the link is closed.
func (l *link) await() (*queued, bool) {
	select {
	case q := <-l.queue:
		return q, true
	case <-l.ctx.Done():
		return nil, false
	}
}

// hearAlive ends a pause of the link.
func (l *link) hearAlive() {
	select {
	case l.alive <- struct{}{}:
	default:
	}
}

// pause waits for d and a random part of it, so that hosts do not reconnect at
// the same moment. It drops what is queued meanwhile. A peer that connects to
// this host has started again, so that the wait is over.
func (l *link) pause(d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	for {
		select {
		case <-l.queue:
			l.peers.counters.dropped.Add(1)
		case <-timer.C:
			return true
		case <-l.alive:
			return true
		case <-l.ctx.Done():
			return false
		}
	}
}

// open connects and starts a session.
func (l *link) open() (*session, error) {
	config := l.peers.config
	dialer := net.Dialer{Timeout: config.DialTimeout}
	if config.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: config.Source}
	}
	raw, err := dialer.DialContext(l.ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	conn, err := config.Identity.client(ctx, countedConn{raw, &l.peers.counters}, l.to)
	if err != nil {
		raw.Close()
		return nil, err
	}
	l.peers.counters.links.Add(1)
	c := newCodec(deadlineConn{conn}, maxAnswer)
	s := &session{link: l, conn: conn, codec: c, done: make(chan *rpc.Call, window+1)}
	s.client = rpc.NewClientWithCodec(clientCodec{c})
	return s, nil
}

// deadlineConn bounds each write.
type deadlineConn struct{ net.Conn }

func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(ackTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
