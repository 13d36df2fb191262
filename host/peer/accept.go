package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
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
	if err := in.serve(deadlineConn{conn}); err != nil && ctx.Err() == nil {
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
	peers  *Peers
	check  checkFunc
	from   model.HostRef
	hosts  knownHosts
	epochs [2]epoch // the last two, by the parity of their number
	fault  error    // of the last call; ends the link
}

// serve takes one call at a time, so that messages keep their order and a busy
// reducer slows down the sender. It returns nil when the connection ended, and
// an error when it has to be dropped.
func (in *incoming) serve(conn net.Conn) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{in}); err != nil {
		return err
	}
	c := newCodec(conn, in.peers.config.MaxMessage)
	for {
		if conn.SetReadDeadline(time.Now().Add(in.patience())) != nil {
			return nil
		}
		err := server.ServeRequest(serverCodec{c})
		if c.ended != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if in.fault != nil {
			return in.fault
		}
	}
}

// patience is the time for the next message. A link begins with a Hello at
// once.
func (in *incoming) patience() time.Duration {
	if in.from.IsZero() {
		return handshakeTimeout
	}
	return silenceTimeout
}

// Service holds the methods that peers call.
type Service struct{ in *incoming }

// Ack is the empty answer.
type Ack struct{}

// Hello begins an epoch. An error drops the link.
func (s *Service) Hello(h *Hello, _ *Ack) error {
	s.in.fault = s.in.begin(h)
	return s.in.fault
}

// Put takes a message. An error drops the link.
func (s *Service) Put(e *Envelope, _ *Ack) error {
	s.in.fault = s.in.take(e)
	return s.in.fault
}

// begin checks the sender and notes when the epoch began.
func (in *incoming) begin(h *Hello) error {
	if h.From.ID == "" || (in.from != h.From && !in.from.IsZero()) {
		return fmt.Errorf("%w: sender %q after %q", errEnvelope, h.From, in.from)
	}
	if err := in.check(h.From.ID); err != nil {
		return fmt.Errorf("sender %q: %w", h.From.ID, err)
	}
	in.from = h.From
	in.epochs[h.Epoch%2] = epoch{number: h.Epoch, since: time.Now()}
	in.peers.heard(h.From.ID)
	return nil
}

func (in *incoming) take(e *Envelope) error {
	epoch := in.epochs[e.Epoch%2]
	if epoch.number != e.Epoch || epoch.since.IsZero() {
		return fmt.Errorf("%w: unknown epoch %d", errEnvelope, e.Epoch)
	}
	if e.body == nil {
		return nil
	}
	// Also a message that is too late may name hosts for later ones.
	m, err := kinds[e.Kind].decode(&in.hosts, e.body)
	if err != nil {
		return err
	}
	if epoch.age(e.Sent) > maxTransit {
		in.peers.counters.stale.Add(1)
		return nil
	}
	in.peers.counters.received.Add(1)
	in.peers.counters.kinds[e.Kind].received.Add(1)
	in.peers.config.Loop.Post(event.PeerReceived{From: in.from, Message: m})
	return nil
}

// epoch is a Hello and when it was answered. Messages that were on their way
// when a new epoch began still count from the one before.
type epoch struct {
	number uint64
	since  time.Time
}

// age returns the greatest age that a message can have: the sender counts from
// the arrival of the answer, which is later than since.
func (e epoch) age(sent int64) time.Duration {
	return time.Since(e.since) - time.Duration(sent)*time.Millisecond
}
