package peer

import (
	"errors"
	"net"
	"net/rpc"
	"time"
)

const (
	// maxUnacked is the send window: the maximum number of messages without an
	// acknowledgement.
	maxUnacked = 128
	// ackTimeout is the time without an acknowledgement after which a link with
	// unacknowledged messages is closed.
	ackTimeout = 3 * time.Second
	// defaultIdleTimeout is the time after which a link without messages is closed. In
	// a large fleet most peers get a heartbeat every few minutes, and an idle link to
	// each would take more memory than all else.
	defaultIdleTimeout = 10 * time.Second
	// maxEpochAge is the time after which the next message is preceded by a new
	// Hello. It limits the drift between the two hosts' clocks to 30 ms if their
	// rates differ by 100 ppm.
	maxEpochAge = 5 * time.Minute
)

// The names of the net/rpc methods. Each call and each response contains one.
const (
	serviceName = "Peer"
	methodHello = serviceName + ".Hello"
	methodPut   = serviceName + ".Put"
)

var (
	errIdle       = errors.New("idle timeout")
	errAckTimeout = errors.New("no acknowledgement within the time limit")
)

// session is one connection of a link. Only the link's goroutine uses it.
type session struct {
	link       *link
	conn       net.Conn
	codec      *codec
	client     *rpc.Client
	acks       chan *rpc.Call
	unacked    int  // calls without a response
	hasAck     bool // a message was acknowledged
	hosts      senderHosts
	epoch      uint64
	epochStart time.Time // arrival of the response to the Hello of this epoch
}

func (s *session) disconnect() {
	s.client.Close()
	s.link.peers.counters.links.Add(-1)
}

// run sends messages until the connection fails, an acknowledgement is overdue or
// the idle timeout expires.
func (s *session) run(first *queuedMessage) error {
	if err := s.startEpoch(); err != nil {
		return err
	}
	if err := s.send(first); err != nil {
		return err
	}
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	for {
		if err := s.handleNext(timer); err != nil {
			return err
		}
	}
}

// handleNext waits for one event and handles it: a queued message, an
// acknowledgement, a timeout, or the end of the link.
func (s *session) handleNext(timer *time.Timer) error {
	queue := s.link.queue
	if s.unacked >= maxUnacked {
		queue = nil
	}
	select {
	case q := <-queue:
		err := s.send(q)
		if s.unacked == 1 {
			timer.Reset(ackTimeout)
		}
		return err
	case call := <-s.acks:
		s.unacked--
		s.hasAck = s.hasAck || call.Error == nil
		timer.Reset(s.timeout())
		return call.Error
	case <-timer.C:
		if s.unacked > 0 {
			return errAckTimeout
		}
		return errIdle
	case <-s.link.ctx.Done():
		return s.link.ctx.Err()
	}
}

func (s *session) timeout() time.Duration {
	if s.unacked > 0 {
		return ackTimeout
	}
	return s.link.peers.config.IdleTimeout
}

// send writes a message, after a new Hello if the epoch is too old. It drops a
// message that is older than maxTransitTime.
func (s *session) send(q *queuedMessage) error {
	if time.Since(s.epochStart) > maxEpochAge {
		if err := s.startEpoch(); err != nil {
			return err
		}
	}
	if time.Since(q.queuedAt) > maxTransitTime {
		s.link.peers.counters.dropped.Add(1)
		return nil
	}
	e := &Envelope{
		Epoch: s.epoch,
		Sent:  q.queuedAt.Sub(s.epochStart).Milliseconds(),
		Kind:  q.kind,
		body:  kinds[q.kind].encode(&s.hosts, q.message),
	}
	s.unacked++
	bytesBefore := s.codec.bytesWritten
	s.client.Go(methodPut, e, &Ack{}, s.acks)
	s.countSent(q.kind, s.codec.bytesWritten-bytesBefore)
	return nil
}

func (s *session) countSent(kind int, bytes uint64) {
	c := &s.link.peers.counters
	c.sent.Add(1)
	c.kinds[kind].sent.Add(1)
	c.kinds[kind].bytesSent.Add(bytes)
}

// startEpoch sends a Hello and waits for the response. It closes the connection
// if none arrives within ackTimeout.
func (s *session) startEpoch() error {
	timer := time.AfterFunc(ackTimeout, func() { s.conn.Close() })
	defer timer.Stop()
	if err := s.client.Call(methodHello, &Hello{From: s.link.peers.config.Self, Epoch: s.epoch + 1}, &Ack{}); err != nil {
		return err
	}
	s.epoch++
	s.epochStart = time.Now()
	return nil
}
