package peer

import (
	"errors"
	"net"
	"net/rpc"
	"time"
)

const (
	// window bounds the messages that wait for their acknowledgement.
	window = 128
	// ackTimeout closes a link on which nothing was acknowledged for this
	// long although something waits.
	ackTimeout = 3 * time.Second
	// idleTimeout closes a link without messages. It is long, because a new
	// link costs a TLS handshake and the description of all types.
	idleTimeout = 10 * time.Minute
	// helloPeriod is the time after which the next message is preceded by a
	// new Hello; clocks that differ by 100 ppm are then 30 ms apart.
	helloPeriod = 5 * time.Minute
)

// The names of the remote methods. Each call and each answer carries one.
const (
	serviceName = "Peer"
	methodHello = serviceName + ".Hello"
	methodPut   = serviceName + ".Put"
)

var (
	errIdle  = errors.New("idle")
	errStall = errors.New("no acknowledgement")
)

// session is one connection of a link. Its goroutine is the only one to use
// it.
type session struct {
	link    *link
	conn    net.Conn
	codec   *codec
	client  *rpc.Client
	done    chan *rpc.Call
	waiting int  // calls without an answer
	works   bool // something was acknowledged
	hosts   sendHosts
	epoch   uint64
	base    time.Time // arrival of the answer to the Hello of this epoch
}

func (s *session) end() {
	s.client.Close()
	s.link.peers.counters.links.Add(-1)
}

// run sends messages until the connection fails, stalls or is idle.
func (s *session) run(first *queued) error {
	if err := s.hello(); err != nil {
		return err
	}
	if err := s.send(first); err != nil {
		return err
	}
	timer := time.NewTimer(ackTimeout)
	defer timer.Stop()
	for {
		if err := s.step(timer); err != nil {
			return err
		}
	}
}

// step waits for one thing to happen.
func (s *session) step(timer *time.Timer) error {
	queue := s.link.queue
	if s.waiting >= window {
		queue = nil
	}
	select {
	case q := <-queue:
		err := s.send(q)
		if s.waiting == 1 {
			timer.Reset(ackTimeout)
		}
		return err
	case call := <-s.done:
		s.waiting--
		s.works = s.works || call.Error == nil
		timer.Reset(s.patience())
		return call.Error
	case <-timer.C:
		if s.waiting > 0 {
			return errStall
		}
		return errIdle
	case <-s.link.ctx.Done():
		return s.link.ctx.Err()
	}
}

func (s *session) patience() time.Duration {
	if s.waiting > 0 {
		return ackTimeout
	}
	return idleTimeout
}

// send writes a message, after a new Hello where one is due.
func (s *session) send(q *queued) error {
	if time.Since(s.base) > helloPeriod {
		if err := s.hello(); err != nil {
			return err
		}
	}
	if time.Since(q.at) > maxTransit {
		s.link.peers.counters.dropped.Add(1)
		return nil
	}
	e := &Envelope{
		Epoch: s.epoch,
		Sent:  q.at.Sub(s.base).Milliseconds(),
		Kind:  q.kind,
		body:  kinds[q.kind].encode(&s.hosts, q.message),
	}
	s.waiting++
	written := s.codec.written
	s.client.Go(methodPut, e, &Ack{}, s.done)
	s.count(q.kind, s.codec.written-written)
	return nil
}

func (s *session) count(kind int, bytes uint64) {
	c := &s.link.peers.counters
	c.sent.Add(1)
	c.kinds[kind].sent.Add(1)
	c.kinds[kind].bytesSent.Add(bytes)
}

// hello starts an epoch and waits for the answer. It closes the connection
// when none arrives.
func (s *session) hello() error {
	timer := time.AfterFunc(ackTimeout, func() { s.conn.Close() })
	defer timer.Stop()
	if err := s.client.Call(methodHello, &Hello{From: s.link.peers.config.Self, Epoch: s.epoch + 1}, &Ack{}); err != nil {
		return err
	}
	s.epoch++
	s.base = time.Now()
	return nil
}
