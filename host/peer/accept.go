package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"time"

	"pollensail.dev/decision/event"
)

const (
	// maxIncoming bounds the incoming links; at the target size there are 650
	// hosts, and a restarted host may have two for a while.
	maxIncoming = 2048
	// silenceTimeout closes an incoming link that the peer should have closed
	// as idle.
	silenceTimeout = idleTimeout + time.Minute
)

// Serve takes links from other hosts until ctx ends.
func (p *Peers) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	slots := make(chan struct{}, maxIncoming)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && retryAccept(ctx) {
				continue
			}
			return err
		}
		select {
		case slots <- struct{}{}:
			go func() {
				p.serveLink(ctx, conn)
				<-slots
			}()
		default:
			p.refuse(conn, errors.New("too many incoming links"))
		}
	}
}

// retryAccept waits a moment after an error that passes, such as too many
// open files.
func retryAccept(ctx context.Context) bool {
	select {
	case <-time.After(minBackoff):
		return true
	case <-ctx.Done():
		return false
	}
}

// serveLink takes messages from one connection until it ends.
func (p *Peers) serveLink(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer raw.Close()
	shake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, check, err := p.config.Identity.server(shake, countedConn{raw, &p.counters})
	if err != nil {
		p.refuse(raw, err)
		return
	}
	p.counters.links.Add(1)
	defer p.counters.links.Add(-1)
	in := &incoming{peers: p, check: check}
	err = in.serve(deadlineConn{conn})
	if ctx.Err() == nil && !errors.Is(err, io.EOF) {
		p.refuse(raw, err)
	}
}

// refuse drops an incoming link with a log line.
func (p *Peers) refuse(conn net.Conn, reason error) {
	conn.Close()
	p.counters.refused.Add(1)
	p.config.Log.Warn().Str("remote", conn.RemoteAddr().String()).Err(reason).Msg("incoming link dropped")
}

// incoming is the receiving end of one link.
type incoming struct {
	peers *Peers
	check checkFunc
	// epoch and since are the last two Hellos and when they were answered.
	epoch [2]uint64
	since [2]time.Time
	fault error // of the last call; ends the link
}

// serve takes one call at a time, so that messages keep their order and a busy
// reducer slows down the sender.
func (in *incoming) serve(conn net.Conn) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{in}); err != nil {
		return err
	}
	c := newCodec(conn, in.peers.config.MaxMessage)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
			return err
		}
		if err := server.ServeRequest(serverCodec{c}); err != nil {
			return err
		}
		if in.fault != nil {
			return in.fault
		}
	}
}

// Service holds the methods that peers call.
type Service struct{ in *incoming }

// Hello starts an epoch.
type Hello struct{ Epoch uint64 }

// Ack is the empty answer.
type Ack struct{}

// Hello notes when the epoch began.
func (s *Service) Hello(h *Hello, _ *Ack) error {
	i := h.Epoch % 2
	s.in.epoch[i], s.in.since[i] = h.Epoch, time.Now()
	return nil
}

// Put takes a message. An error drops the link.
func (s *Service) Put(e *Envelope, _ *Ack) error {
	s.in.fault = s.in.take(e)
	return s.in.fault
}

func (in *incoming) take(e *Envelope) error {
	m, err := unwrap(e)
	if err != nil {
		return err
	}
	if err := in.check(e.From.ID); err != nil {
		return fmt.Errorf("sender %q: %w", e.From.ID, err)
	}
	i := e.Epoch % 2
	if in.epoch[i] != e.Epoch || in.since[i].IsZero() {
		return fmt.Errorf("%w: unknown epoch %d", errEnvelope, e.Epoch)
	}
	// The sender counts from the arrival of the answer, which is later than
	// since, so the true age is at most this.
	age := time.Since(in.since[i]) - time.Duration(e.Sent)*time.Millisecond
	if age > maxTransit {
		in.peers.counters.stale.Add(1)
		return nil
	}
	in.peers.counters.received.Add(1)
	in.peers.config.Loop.Post(event.PeerReceived{From: e.From, Message: m})
	return nil
}
