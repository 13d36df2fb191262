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
	// queueCapacity is the maximum number of messages that wait for a link. The
	// queues of 650 idle links take 1.3 MB.
	queueCapacity = 256
	// minBackoff and maxBackoff limit the exponential backoff between attempts to
	// connect, before jitter.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// link is the outgoing connection to one peer and its send queue.
type link struct {
	peers      *Peers
	to         model.HostID
	address    string
	queue      chan *queuedMessage
	endBackoff chan struct{} // gets a value when the peer has connected to this host
	ctx        context.Context
	close      context.CancelFunc
	isDown     bool // the last session failed; used only by the goroutine of run
}

// queuedMessage is a message and the time when Send was called.
type queuedMessage struct {
	kind     int
	message  message.Message
	queuedAt time.Time
}

func newLink(p *Peers, to model.HostID, address string) *link {
	l := &link{peers: p, to: to, address: address, queue: make(chan *queuedMessage, queueCapacity)}
	l.endBackoff = make(chan struct{}, 1)
	l.ctx, l.close = context.WithCancel(p.ctx)
	return l
}

// enqueue queues a message. It returns false if the queue is full.
func (l *link) enqueue(q *queuedMessage) bool {
	select {
	case l.queue <- q:
		return true
	default:
		return false
	}
}

// run connects whenever there is a message to send, until the link is closed or
// idle.
func (l *link) run() {
	backoff := minBackoff
	for {
		first, ok := l.dequeue()
		if !ok {
			return
		}
		hasAck, err := l.runSession(first)
		if errors.Is(err, errIdle) {
			if l.peers.removeIdle(l) {
				l.close()
				return
			}
			continue
		}
		l.isDown = l.isDown && !hasAck
		if hasAck {
			backoff = minBackoff
		}
		l.logFailure(err)
		if !l.waitBackoff(backoff) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// runSession connects and sends until the connection ends. It reports whether the
// peer acknowledged a message.
func (l *link) runSession(first *queuedMessage) (hasAck bool, err error) {
	s, err := l.connect()
	if err != nil {
		l.peers.counters.dropped.Add(1)
		return false, err
	}
	defer s.disconnect()
	if l.isDown {
		l.isDown = false
		l.peers.config.Log.Info().Str("peer", string(l.to)).Str("address", l.address).Msg("link to peer regained")
	}
	err = s.run(first)
	return s.hasAck, err
}

// logFailure logs only the first of consecutive failures: at the target size an
// outage of a failure domain affects a hundred peers, each retried every 2 s.
func (l *link) logFailure(err error) {
	if l.ctx.Err() == nil && !l.isDown {
		l.isDown = true
		l.peers.config.Log.Warn().Str("peer", string(l.to)).Str("address", l.address).Err(err).Msg("no link to peer")
	}
}

// dequeue waits for the next message. It returns false if the link is closed.
func (l *link) dequeue() (*queuedMessage, bool) {
	select {
	case q := <-l.queue:
		return q, true
	case <-l.ctx.Done():
		return nil, false
	}
}

// skipBackoff ends the current backoff, so that the link reconnects at once.
func (l *link) skipBackoff() {
	select {
	case l.endBackoff <- struct{}{}:
	default:
	}
}

// waitBackoff waits for d with jitter (d/2 to 3d/2), so that hosts do not
// reconnect at the same moment, and drops the messages that are queued in that
// time. It ends early when the peer connects to this host, because the peer is
// then up again. It returns false if the link is closed.
func (l *link) waitBackoff(d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	for {
		select {
		case <-l.queue:
			l.peers.counters.dropped.Add(1)
		case <-timer.C:
			return true
		case <-l.endBackoff:
			return true
		case <-l.ctx.Done():
			return false
		}
	}
}

// connect opens the connection and returns a session on it.
func (l *link) connect() (*session, error) {
	config := l.peers.config
	dialer := net.Dialer{Timeout: config.DialTimeout}
	if config.SourceAddress != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: config.SourceAddress}
	}
	raw, err := dialer.DialContext(l.ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	conn, err := config.Identity.clientConn(ctx, countingConn{raw, &l.peers.counters}, l.to)
	if err != nil {
		raw.Close()
		return nil, err
	}
	l.peers.counters.links.Add(1)
	c := newCodec(writeTimeoutConn{conn}, maxResponseBytes)
	s := &session{link: l, conn: conn, codec: c, acks: make(chan *rpc.Call, maxUnacked+1)}
	s.client = rpc.NewClientWithCodec(clientCodec{c})
	return s, nil
}

// writeTimeoutConn limits each write to ackTimeout.
type writeTimeoutConn struct{ net.Conn }

func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(ackTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
