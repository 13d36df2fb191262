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

// maxTransit is the greatest age at which a message is handed to the reducer.
// It leaves room for two retransmissions of TCP.
const maxTransit = time.Second

// Loop is the part of the control loop that takes messages.
type Loop interface{ Post(event.Body) bool }

// Config is what Peers needs.
type Config struct {
	Self     model.HostRef
	Identity Identity
	// Source is the address that links come from; nil leaves it to the system.
	// A host with several addresses is then seen under the one of its settings.
	Source      net.IP
	MaxMessage  int           // bytes
	DialTimeout time.Duration // of a TCP connection
	Loop        Loop
	Log         *log.Logger
}

// Peers sends messages to other hosts and takes theirs. It implements
// control.Peers. Make it with New.
type Peers struct {
	config   Config
	counters counters
	ctx      context.Context

	mu        sync.Mutex
	addresses map[model.HostID]string
	links     map[model.HostID]*link
}

// New returns a Peers whose links end with ctx. It logs loudly when the
// identity is insecure.
func New(ctx context.Context, config Config) *Peers {
	if config.Identity.Insecure() {
		config.Log.Warn().Msg("tls.insecure = true: links between hosts are not encrypted and any sender is believed; use it for tests only")
	}
	return &Peers{
		config:    config,
		counters:  counters{kinds: make([]kindCounters, len(kinds))},
		ctx:       ctx,
		addresses: make(map[model.HostID]string),
		links:     make(map[model.HostID]*link),
	}
}

// Counters returns the counts so far.
func (p *Peers) Counters() Counters { return p.counters.read() }

// SetHosts takes the addresses of the entry hosts from the host list. Links to
// hosts that left the list or moved are closed.
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

// Send queues a message and returns at once. A message to an unknown host or
// for a full queue is dropped. The message must not be changed afterwards,
// because it is encoded in another goroutine.
func (p *Peers) Send(f effect.Send) {
	kind, ok := kindOf(f.Message)
	if !ok {
		p.config.Log.Error().Str("type", fmt.Sprintf("%T", f.Message)).Msg("message has no wire form")
		return
	}
	l := p.link(f.To)
	if l == nil || !l.push(&queued{kind: kind, message: f.Message, at: time.Now()}) {
		p.counters.dropped.Add(1)
	}
}

// heard ends the pause of the link to a host that has connected to this one.
func (p *Peers) heard(from model.HostID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.links[from]; ok {
		l.hearAlive()
	}
}

// link returns the link to a host, nil when its address is unknown.
func (p *Peers) link(to model.HostID) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
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
