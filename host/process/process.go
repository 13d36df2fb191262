package process

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"net"
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
)

// Process is one life of an entry host. Make it with New.
type Process struct {
	settings  settings.Settings
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
func New(s settings.Settings, logger *telemetry.Logger) (*Process, error) {
	identity, err := peer.LoadIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	l, err := listen(s.Listen)
	if err != nil {
		return nil, err
	}
	loop := control.New()
	transport := backend.New(loop, backend.Options{DialTimeout: time.Duration(s.Limits.DialTimeout)})
	p := &Process{
		settings:  s,
		logger:    logger,
		self:      model.HostRef{ID: s.Host, Incarnation: newIncarnation()},
		loop:      loop,
		transport: transport,
		frontend:  frontend.New(loop, transport, frontendOptions(s.Limits)),
		identity:  identity,
		listeners: l,
	}
	return p, nil
}

func frontendOptions(l settings.Limits) frontend.Options {
	return frontend.Options{
		MaxHeader:    int(l.RequestHeader),
		MaxBody:      int(l.RequestBody),
		ReadTimeout:  time.Duration(l.ReadTimeout),
		WriteTimeout: time.Duration(l.WriteTimeout),
		IdleTimeout:  time.Duration(l.IdleTimeout),
	}
}

// newIncarnation returns a number that no other life of a host has: the start
// time, with chance in the low bits for hosts that start twice in a moment.
func newIncarnation() uint64 {
	var chance [2]byte
	_, _ = rand.Read(chance[:]) // never fails
	return uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(chance[:]))
}

// Run serves until stop ends, which begins a planned stop, or until ctx ends,
// which ends the process at once. It returns nil after a planned stop.
func (p *Process) Run(ctx, stop context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	p.connect(ctx, group)
	p.logStart()
	group.Go(func() error { return p.serveCallers(ctx) })
	group.Go(func() error { return p.observer.Serve(ctx, p.listeners.operator, p.loop) })
	group.Go(func() error { return p.awaitStop(ctx, stop) })
	group.Go(func() error {
		defer cancel()
		return p.runLoop(ctx)
	})
	err := group.Wait()
	p.transport.Close()
	if errors.Is(err, context.Canceled) {
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
		Loop:        p.loop,
		Log:         logger,
	})
	platform := store.NewHTTP(string(p.settings.Store.Address))
	timeout := time.Duration(p.settings.Store.Timeout)
	p.observer = telemetry.New(logger, peerSources(peers)...)
	p.loop.Connect(control.Adapters{
		Traffic:  traffic{p.frontend, p.loop},
		Peers:    peers,
		Store:    store.NewCaller(ctx, platform, p.loop, timeout, logger),
		Observer: p.observer,
	})
	hosts := store.HostList{
		Store: platform, Loop: p.loop, Timeout: timeout, Log: logger, Listed: peers.SetHosts,
	}
	group.Go(func() error { return peers.Serve(ctx, p.listeners.peer) })
	group.Go(func() error { return hosts.Run(ctx) })
}

// peerSources are the counts of control traffic for /metrics.
func peerSources(peers *peer.Peers) []telemetry.Source {
	return []telemetry.Source{
		{Name: "peer_sent_bytes", Help: "Bytes sent to other hosts.", Read: func() float64 {
			return float64(peers.Counters().BytesSent)
		}},
		{Name: "peer_received_bytes", Help: "Bytes received from other hosts.", Read: func() float64 {
			return float64(peers.Counters().BytesReceived)
		}},
	}
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

// serveCallers serves until the planned stop closes the port or ctx ends,
// which does not wait for requests.
func (p *Process) serveCallers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.listeners.caller.Close() })
	defer stop()
	if err := p.frontend.Serve(p.listeners.caller); err != nil {
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
	p.loop.Post(event.StopRequested{BalancerDelay: time.Duration(p.settings.Stop.BalancerDelay)})
	return nil
}

// listeners are the ports of a process.
type listeners struct {
	caller, peer, operator net.Listener
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
	} {
		listener, err := net.Listen("tcp", string(port.address))
		if err != nil {
			return opened, merry.Prependf(err, "listen.%s", port.name)
		}
		*port.listener = listener
	}
	return opened, nil
}
