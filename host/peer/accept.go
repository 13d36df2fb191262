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
	// maxIncomingLinks limits the incoming links. At the target size there are 650
	// hosts, and a restarted host may have two links for a while.
	maxIncomingLinks = 2048
	// incomingIdleFactor is the multiple of the idle timeout after which the receiver
	// closes a link that the sender should have closed.
	incomingIdleFactor = 3
)

// Serve accepts links from other hosts until ctx ends.
func (p *Peers) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	semaphore := make(chan struct{}, maxIncomingLinks)
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && waitAcceptRetry(ctx) {
				continue
			}
			return err
		}
		select {
		case semaphore <- struct{}{}:
			go func() {
				p.serveLink(ctx, conn)
				<-semaphore
			}()
		default:
			p.dropIncoming(conn, errors.New("too many incoming links"))
		}
	}
}

// waitAcceptRetry waits for minBackoff after a temporary error of Accept, such as
// too many open files. It returns false if ctx ends.
func waitAcceptRetry(ctx context.Context) bool {
	select {
	case <-time.After(minBackoff):
		return true
	case <-ctx.Done():
		return false
	}
}

// serveLink receives messages from one connection until it ends.
func (p *Peers) serveLink(ctx context.Context, raw net.Conn) {
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	defer raw.Close()
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, verifySender, err := p.config.Identity.serverConn(handshakeCtx, countingConn{raw, &p.counters})
	if err != nil {
		p.dropIncoming(raw, err)
		return
	}
	p.counters.links.Add(1)
	defer p.counters.links.Add(-1)
	in := &incomingLink{peers: p, verifySender: verifySender}
	if err := in.serve(writeTimeoutConn{conn}); err != nil && ctx.Err() == nil {
		p.dropIncoming(raw, err)
	}
}

// dropIncoming closes, counts and logs an incoming link that failed.
func (p *Peers) dropIncoming(conn net.Conn, reason error) {
	conn.Close()
	p.counters.refused.Add(1)
	p.config.Log.Warn().Str("remote", conn.RemoteAddr().String()).Err(reason).Msg("incoming link dropped")
}

// incomingLink is the receiving end of one link.
type incomingLink struct {
	peers        *Peers
	verifySender verifyFunc
	sender       model.HostRef
	hosts        receiverHosts
	epochs       [2]epoch // the last two, indexed by epoch number modulo 2
	callError    error    // result of the last call; not nil ends the link
}

// serve handles one call at a time, which preserves the order of messages and
// applies backpressure to the sender while the reducer is busy. It returns nil
// when the connection has ended, and an error when it must be dropped.
func (in *incomingLink) serve(conn net.Conn) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, &Service{in}); err != nil {
		return err
	}
	c := newCodec(conn, in.peers.config.MaxMessageBytes)
	for {
		if conn.SetReadDeadline(time.Now().Add(in.readTimeout())) != nil {
			return nil
		}
		err := server.ServeRequest(serverCodec{c})
		if c.readError != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if in.callError != nil {
			return in.callError
		}
	}
}

// readTimeout returns the time limit for receiving the next message. The first
// one is a Hello, which the sender sends without delay.
func (in *incomingLink) readTimeout() time.Duration {
	if in.sender.IsZero() {
		return handshakeTimeout
	}
	return incomingIdleFactor * in.peers.config.IdleTimeout
}

// Service is the net/rpc service that peers call.
type Service struct{ in *incomingLink }

// Ack is the empty response to each call.
type Ack struct{}

// Hello starts an epoch. An error drops the link.
func (s *Service) Hello(h *Hello, _ *Ack) error {
	s.in.callError = s.in.startEpoch(h)
	return s.in.callError
}

// Put receives a message. An error drops the link.
func (s *Service) Put(e *Envelope, _ *Ack) error {
	s.in.callError = s.in.receive(e)
	return s.in.callError
}

// startEpoch verifies the sender and records when the epoch began.
func (in *incomingLink) startEpoch(h *Hello) error {
	if h.From.ID == "" || (in.sender != h.From && !in.sender.IsZero()) {
		return fmt.Errorf("%w: sender %q after %q", errInvalidEnvelope, h.From, in.sender)
	}
	if err := in.verifySender(h.From.ID); err != nil {
		return fmt.Errorf("sender %q: %w", h.From.ID, err)
	}
	in.sender = h.From
	in.epochs[h.Epoch%2] = epoch{number: h.Epoch, startedAt: time.Now()}
	in.peers.peerConnected(h.From.ID)
	return nil
}

func (in *incomingLink) receive(e *Envelope) error {
	epoch := in.epochs[e.Epoch%2]
	if epoch.number != e.Epoch || epoch.startedAt.IsZero() {
		return fmt.Errorf("%w: unknown epoch %d", errInvalidEnvelope, e.Epoch)
	}
	if e.body == nil {
		return nil
	}
	// Stale messages are decoded too: they may add hosts to the list that later
	// messages refer to by index.
	m, err := kinds[e.Kind].decode(&in.hosts, e.body)
	if err != nil {
		return err
	}
	if epoch.maxMessageAge(e.Sent) > maxTransitTime {
		in.peers.counters.stale.Add(1)
		return nil
	}
	in.peers.counters.received.Add(1)
	in.peers.counters.kinds[e.Kind].received.Add(1)
	in.peers.config.EventLoop.Post(event.MessageReceived{From: in.sender, Message: m})
	return nil
}

// epoch is the time base of a Hello. Messages that were in transit when a new
// epoch began still refer to the epoch before.
type epoch struct {
	number    uint64
	startedAt time.Time
}

// maxMessageAge returns an upper bound on the age of a message: the sender counts
// from the arrival of the response to its Hello, which is later than startedAt.
func (e epoch) maxMessageAge(sentMillis int64) time.Duration {
	return time.Since(e.startedAt) - time.Duration(sentMillis)*time.Millisecond
}
