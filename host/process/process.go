package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/backend"
	"pollensail.dev/host/control"
	"pollensail.dev/host/frontend"
	"pollensail.dev/host/peer"
	"pollensail.dev/host/settings"
	"pollensail.dev/host/store"
	"pollensail.dev/host/telemetry"
	"pollensail.dev/host/wire"
)

// Process is one life of an entry host. Make it with New.
type Process struct {
	mu       sync.Mutex // guards what Reload changes in settings
	settings settings.Settings

	around    Environment
	logger    *telemetry.Logger
	self      model.HostRef
	loop      *control.Loop
	frontend  *frontend.Frontend
	transport *backend.Transport
	observer  *telemetry.Observer
	identity  peer.Identity
	listeners listeners
}

// New opens the listeners of a process that has not started. Its errors say
// what in the settings cannot be used.
func New(s settings.Settings, around Environment, logger *telemetry.Logger) (*Process, error) {
	identity, err := peer.LoadIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	if err := identity.Check(s.Host); err != nil {
		return nil, merry.Prependf(err, "tls.certificate %s", s.TLS.Certificate)
	}
	l, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	loop := control.New()
	transport := backend.New(loop, backend.Options{
		DialTimeout: time.Duration(s.Limits.DialTimeout),
		MaxHeader:   int(s.Limits.AnswerHeader),
		Dialect:     around.Dialect,
	})
	p := &Process{
		settings:  s,
		around:    around,
		logger:    logger,
		self:      model.HostRef{ID: s.Host, Incarnation: newIncarnation()},
		loop:      loop,
		transport: transport,
		frontend:  frontend.New(loop, transport, frontendOptions(s.Limits, around.Dialect)),
		identity:  identity,
		listeners: l,
	}
	return p, nil
}

func frontendOptions(l settings.Limits, d wire.Dialect) frontend.Options {
	return frontend.Options{
		Connections:  l.Connections,
		MaxHeader:    int(l.RequestHeader),
		MaxBody:      int(l.RequestBody),
		ReadTimeout:  time.Duration(l.ReadTimeout),
		WriteTimeout: time.Duration(l.WriteTimeout),
		IdleTimeout:  time.Duration(l.IdleTimeout),
		Dialect:      d,
	}
}

// newIncarnation returns a number that no other life of a host has: the start
// time, with chance in the low bits for hosts that start twice in a moment.
func newIncarnation() uint64 {
	var chance [2]byte
	_, _ = rand.Read(chance[:]) // never fails
	return uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(chance[:]))
}

// ErrCutShort says that a process ended before its planned stop was complete.
var ErrCutShort = errors.New("ended before the planned stop was complete: requests in flight were cut off, slots were not handed over")

// Run serves until stop ends, which begins a planned stop, or until ctx ends,
// which ends the process at once. It returns nil after a planned stop and
// ErrCutShort where ctx ended.
func (p *Process) Run(ctx, stop context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	group, running := errgroup.WithContext(running)
	p.connect(running, group)
	p.logStart()
	group.Go(func() error { return p.serveCallers(running) })
	for _, listener := range p.listeners.observed() {
		group.Go(func() error { return p.observer.Serve(running, listener, p.loop) })
	}
	group.Go(func() error { return p.awaitStop(running, stop) })
	group.Go(func() error {
		defer cancel()
		return p.runLoop(running)
	})
	err := group.Wait()
	p.transport.Close()
	switch {
	case ctx.Err() != nil:
		return ErrCutShort
	case errors.Is(err, context.Canceled):
		p.logger.Info().Msg("planned stop complete")
		return nil
	}
	return err
}

// connect makes the adapters that run as long as ctx and starts them.
func (p *Process) connect(ctx context.Context, group *errgroup.Group) {
	logger := &p.logger.Logger
	peers := peer.New(ctx, peer.Config{
		Self:        p.self,
		Identity:    p.identity,
		MaxMessage:  int(p.settings.Limits.PeerMessage),
		DialTimeout: time.Duration(p.settings.Limits.DialTimeout),
		Source:      p.listeners.peer.Addr().(*net.TCPAddr).IP,
		Loop:        p.loop,
		Log:         logger,
	})
	timeout := time.Duration(p.settings.Store.Timeout)
	p.observer = telemetry.New(logger, p.sources(peers)...)
	p.loop.Connect(control.Adapters{
		Traffic:  traffic{p.frontend, p.loop},
		Peers:    peers,
		List:     p.around.Directory,
		Store:    store.NewCaller(ctx, p.around.Records, p.loop, timeout, logger),
		Observer: p.observer,
	})
	task := DirectoryTask{
		Self: p.entry(), Post: p.loop.Post, Timeout: timeout, Log: logger,
	}
	group.Go(func() error { return peers.Serve(ctx, p.listeners.peer) })
	group.Go(func() error { return p.around.Directory.Run(ctx, task) })
}

// entry is this host's entry in the list of hosts.
func (p *Process) entry() model.HostEntry {
	return model.HostEntry{
		ID:       string(p.self.ID),
		Role:     model.RoleEntry,
		Domain:   p.settings.Domain,
		Peer:     p.listeners.peer.Addr().String(),
		Operator: p.listeners.operator.Addr().String(),
	}
}

// sources are the counts of the adapters for /metrics.
func (p *Process) sources(peers *peer.Peers) []telemetry.Source {
	return append(append(peers.Sources(), p.around.Sources...),
		telemetry.Source{
			Name: "requests_unread_total",
			Help: "Requests refused unread: malformed, too large or too slow.",
			Read: func() float64 { return float64(p.frontend.Rejected()) },
		},
		telemetry.Source{
			Name: "log_lines_lost_total",
			Help: "Log lines that the output did not take in time.",
			Read: func() float64 { return float64(p.logger.Lost()) },
		},
	)
}

func (p *Process) logStart() {
	p.logger.Info().
		Str("host", p.self.String()).
		Str("domain", string(p.settings.Domain)).
		Str("caller", p.listeners.caller.Addr().String()).
		Str("peer", p.listeners.peer.Addr().String()).
		Str("operator", p.listeners.operator.Addr().String()).
		Msg("host started")
}

// runLoop runs the reducer until the planned stop is complete.
func (p *Process) runLoop(ctx context.Context) error {
	defer p.frontend.Abandon()
	return p.loop.Run(ctx, event.Started{
		Self:   p.self,
		Domain: p.settings.Domain,
		Seed:   p.self.Incarnation,
	})
}

// serveCallers serves until the callers' port is closed, by a planned stop or
// with ctx.
func (p *Process) serveCallers(ctx context.Context) error {
	end := context.AfterFunc(ctx, func() { p.listeners.caller.Close() })
	defer end()
	if err := p.frontend.Serve(p.listeners.caller); err != nil && ctx.Err() == nil {
		return merry.Prepend(err, "callers' port")
	}
	return nil
}

// awaitStop begins the planned stop.
func (p *Process) awaitStop(ctx, stop context.Context) error {
	select {
	case <-stop.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	p.logger.Info().Msg("planned stop begins")
	p.frontend.BeginStop()
	p.loop.Post(event.StopRequested{BalancerDelay: time.Duration(p.stop().BalancerDelay)})
	return nil
}

// listeners are the ports of a process.
type listeners struct {
	caller, peer, operator net.Listener
	metrics                net.Listener // nil: none
}

// observed are the ports that show the state of the host.
func (l listeners) observed() []net.Listener {
	if l.metrics == nil {
		return []net.Listener{l.operator}
	}
	return []net.Listener{l.operator, l.metrics}
}

func listen(l settings.Listen) (listeners, error) {
	var opened listeners
	for _, port := range []struct {
		name     string
		address  settings.Address
		listener *net.Listener
	}{
		{"caller", l.Caller, &opened.caller},
		{"peer", l.Peer, &opened.peer},
		{"operator", l.Operator, &opened.operator},
		{"metrics", l.Metrics, &opened.metrics},
	} {
		if port.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", string(port.address))
		if err != nil {
			return opened, merry.Prependf(err, "listen.%s", port.name)
		}
		*port.listener = listener
	}
	return opened, nil
}
