package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/phuslu/log"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// maxTransitTime is the maximum age at which a message is delivered to the
// reducer. It leaves room for two TCP retransmissions.
const maxTransitTime = time.Second

// EventLoop is the part of the control loop that receives events.
type EventLoop interface{ Post(event.Body) bool }

// Config is the configuration of Peers.
type Config struct {
	Self     model.HostRef
	Identity Identity
	// SourceAddress is the local address of outgoing links, so that peers of a
	// host with several addresses see the one in its settings. With nil the
	// system chooses.
	SourceAddress   net.IP
	MaxMessageBytes int           // limit for received messages in bytes
	DialTimeout     time.Duration // of a TCP connection
	// IdleTimeout is the time after which a link without messages is closed; 0:
	// defaultIdleTimeout.
	IdleTimeout time.Duration
	EventLoop   EventLoop
	Log         *log.Logger
}

// Peers sends messages to other hosts and receives theirs. It implements
// control.Peers. Create it with New.
type Peers struct {
	config   Config
	counters counters
	ctx      context.Context

	mu        sync.Mutex
	addresses map[model.HostID]string
	links     map[model.HostID]*link
}

// New returns a Peers whose links end with ctx. It logs a warning if the identity
// is insecure.
func New(ctx context.Context, config Config) *Peers {
	if config.Identity.Insecure() {
		config.Log.Warn().Msg("tls.insecure = true: links between hosts are not encrypted and any sender is believed; use it for tests only")
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	return &Peers{
		config:    config,
		counters:  counters{kinds: make([]kindCounters, len(kinds))},
		ctx:       ctx,
		addresses: make(map[model.HostID]string),
		links:     make(map[model.HostID]*link),
	}
}

// Counters returns the current counts.
func (p *Peers) Counters() Counters { return p.counters.snapshot() }

// SetHosts replaces the addresses of the entry hosts by those in the host list.
// It closes links to hosts that left the list or changed their address.
func (p *Peers) SetHosts(entries []model.HostEntry) {
	addresses := make(map[model.HostID]string, len(entries))
	for _, e := range entries {
		if e.Role == model.RoleEntry {
			addresses[model.HostID(e.ID)] = e.Peer
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	for id, l := range p.links {
		if addresses[id] != l.address {
			l.close()
			delete(p.links, id)
		}
	}
}

// Send queues a message without blocking. It drops the message if the host is
// unknown or the queue is full. The caller must not modify the message afterwards,
// because another goroutine encodes it.
func (p *Peers) Send(f effect.Send) {
	kind, ok := kindNumber(f.Message)
	if !ok {
		p.config.Log.Error().Str("type", fmt.Sprintf("%T", f.Message)).Msg("message has no wire form")
		return
	}
	if !p.enqueue(f.To, &queuedMessage{kind: kind, message: f.Message, queuedAt: time.Now()}) {
		p.counters.dropped.Add(1)
	}
}

// enqueue queues a message on the link to a host. It returns false if there can be
// no link or its queue is full.
func (p *Peers) enqueue(to model.HostID, q *queuedMessage) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.link(to)
	return l != nil && l.enqueue(q)
}

// removeIdle removes a link that has closed its connection because it was idle. It
// returns false if a message was queued meanwhile.
func (p *Peers) removeIdle(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	if p.links[l.to] == l {
		delete(p.links, l.to)
	}
	return true
}

// peerConnected ends the backoff of the link to a host that has connected to this
// one.
func (p *Peers) peerConnected(from model.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[from]; ok {
		l.skipBackoff()
	}
}

// link returns the link to a host and creates it if necessary. It returns nil if
// the host's address is unknown or the process stops. The caller holds mu.
func (p *Peers) link(to model.HostID) *link {
	if l, ok := p.links[to]; ok {
		return l
	}
	address := p.addresses[to]
	if address == "" || p.ctx.Err() != nil {
		return nil
	}
	l := newLink(p, to, address)
	p.links[to] = l
	go l.run()
	return l
}
