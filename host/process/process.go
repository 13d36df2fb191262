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

// Process is a running entry host, from one start to its end. Use New to
// create one.
type Process struct {
	mu       sync.Mutex // guards settings
	settings settings.Settings

	environment Environment
	logger      *telemetry.Logger
	self        model.HostRef
	loop        *control.Loop
	frontend    *frontend.Frontend
	transport   *backend.Transport
	observer    *telemetry.Observer
	identity    peer.Identity
	listeners   listeners
}

// New opens the listeners and creates a process that is not running yet. Its
// errors name the invalid setting.
func New(s settings.Settings, environment Environment, logger *telemetry.Logger) (*Process, error) {
	identity, err := peer.LoadIdentity(s.TLS)
	if err != nil {
		return nil, err
	}
	if err := identity.VerifyHost(s.Host); err != nil {
		return nil, merry.Prependf(err, "tls.certificate %s", s.TLS.CertificateFile)
	}
	opened, err := openListeners(s.Listen)
	if err != nil {
		return nil, err
	}
	loop := control.New()
	transport := backend.New(loop, backend.Options{
		DialTimeout:    time.Duration(s.Limits.DialTimeout),
		MaxHeaderBytes: int(s.Limits.AnswerHeader),
		Dialect:        environment.Dialect,
	})
	p := &Process{
		settings:    s,
		environment: environment,
		logger:      logger,
		self:        model.HostRef{ID: s.Host, Incarnation: newIncarnation()},
		loop:        loop,
		transport:   transport,
		frontend:    frontend.New(loop, transport, frontendOptions(s.Limits, environment.Dialect)),
		identity:    identity,
		listeners:   opened,
	}
	return p, nil
}

func frontendOptions(limits settings.Limits, dialect wire.Dialect) frontend.Options {
	return frontend.Options{
		MaxConnections: limits.CallerConnections,
		MaxHeaderBytes: int(limits.RequestHeader),
		MaxBodyBytes:   int(limits.RequestBody),
		BoundsMemory:   limits.Memory > 0,
		ReadTimeout:    time.Duration(limits.ReadTimeout),
		WriteTimeout:   time.Duration(limits.WriteTimeout),
		IdleTimeout:    time.Duration(limits.IdleTimeout),
		Dialect:        dialect,
	}
}

// newIncarnation returns a number that is unique to this start of the host: the
// start time in milliseconds, with random low bits in case the host starts twice
// within a millisecond.
func newIncarnation() uint64 {
	var random [2]byte
	_, _ = rand.Read(random[:]) // never fails
	return uint64(time.Now().UnixMilli())<<16 | uint64(binary.LittleEndian.Uint16(random[:]))
}

// ErrStopIncomplete is returned by Run if the process ended before its planned
// stop was complete.
var ErrStopIncomplete = errors.New("ended before the planned stop was complete: requests in flight were cut off, slots were not handed over")

// Run serves until stop or ctx is done. When stop is done it begins a planned
// stop (graceful shutdown) and returns nil once that is complete. When ctx is
// done it ends at once and returns ErrStopIncomplete.
func (p *Process) Run(ctx, stop context.Context) error {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	group, running := errgroup.WithContext(running)
	p.connect(running, group)
	p.logStart()
	group.Go(func() error { return p.serveCallers(running) })
	for _, listener := range p.listeners.operatorListeners() {
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
		return ErrStopIncomplete
	case errors.Is(err, context.Canceled):
		p.logger.Info().Msg("planned stop complete")
		return nil
	}
	return err
}

// connect creates the adapters, connects them to the control loop and starts
// them. They run until ctx is done.
func (p *Process) connect(ctx context.Context, group *errgroup.Group) {
	logger := &p.logger.Logger
	peers := peer.New(ctx, peer.Config{
		Self:            p.self,
		Identity:        p.identity,
		MaxMessageBytes: int(p.settings.Limits.PeerMessage),
		DialTimeout:     time.Duration(p.settings.Limits.DialTimeout),
		SourceAddress:   p.listeners.peer.Addr().(*net.TCPAddr).IP,
		EventLoop:       p.loop,
		Log:             logger,
	})
	timeout := time.Duration(p.settings.Store.Timeout)
	p.observer = telemetry.NewObserver(logger, p.metricSources(peers)...)
	p.loop.Connect(control.Adapters{
		Traffic:  trafficAdapter{p.frontend, p.transport, p.loop},
		Peers:    peers,
		List:     p.environment.Directory,
		Store:    store.NewEffectRunner(ctx, p.environment.Store, p.loop, timeout, logger),
		Observer: p.observer,
	})
	config := DirectoryConfig{
		Self: p.hostEntry(), Post: p.loop.Post, Timeout: timeout, Log: logger,
	}
	group.Go(func() error { return peers.Serve(ctx, p.listeners.peer) })
	group.Go(func() error { return p.environment.Directory.Run(ctx, config) })
}

// hostEntry returns this host's entry in the list of hosts.
func (p *Process) hostEntry() model.HostEntry {
	return model.HostEntry{
		ID:       string(p.self.ID),
		Role:     model.RoleEntry,
		Domain:   p.settings.Domain,
		Peer:     p.listeners.peer.Addr().String(),
		Operator: p.listeners.operator.Addr().String(),
	}
}

// metricSources returns the adapters' metrics for /metrics.
func (p *Process) metricSources(peers *peer.Peers) []telemetry.MetricSource {
	return append(append(peers.Sources(), p.environment.MetricSources...),
		telemetry.MetricSource{
			Name: "requests_unread_total",
			Help: "Requests refused unread: malformed, too large or too slow.",
			Read: func() float64 { return float64(p.frontend.RejectedUnread()) },
		},
		telemetry.MetricSource{
			Name: "requests_memory_refused_total",
			Help: "Requests refused while their body was received, for lack of memory.",
			Read: func() float64 { return float64(p.frontend.MemoryRefused()) },
		},
		telemetry.MetricSource{
			Name: "memory_request_bodies_bytes",
			Help: "Memory granted to bodies of requests.",
			Read: func() float64 { return float64(p.transport.BodyBytes()) },
		},
		telemetry.MetricSource{
			Name: "memory_responses_bytes",
			Help: "Memory of responses that are read whole before their delivery.",
			Read: func() float64 { return float64(p.transport.ResponseBytes()) },
		},
		telemetry.MetricSource{
			Name: "backend_connections_opened_total",
			Help: "Connections opened to backend servers.",
			Read: func() float64 { return float64(p.transport.ConnsOpened()) },
		},
		telemetry.MetricSource{
			Name: "backend_responses_skipped_total",
			Help: "Responses of backend servers that belonged to an earlier request on their connection.",
			Read: func() float64 { return float64(p.transport.ResponsesSkipped()) },
		},
		telemetry.MetricSource{
			Name: "log_lines_lost_total",
			Help: "Log lines that the output did not take in time.",
			Read: func() float64 { return float64(p.logger.LostLines()) },
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

// runLoop runs the control loop, which applies the reducer to each event, until
// the planned stop is complete.
func (p *Process) runLoop(ctx context.Context) error {
	defer p.frontend.RefusePending()
	return p.loop.Run(ctx, event.Started{
		Self:   p.self,
		Domain: p.settings.Domain,
		Seed:   p.self.Incarnation,

		MemoryBytes: int(p.settings.Limits.Memory),
	})
}

// serveCallers serves requests until the caller listener is closed, by a planned
// stop or when ctx is done.
func (p *Process) serveCallers(ctx context.Context) error {
	end := context.AfterFunc(ctx, func() { p.listeners.caller.Close() })
	defer end()
	if err := p.frontend.Serve(p.listeners.caller); err != nil && ctx.Err() == nil {
		return merry.Prepend(err, "caller listener")
	}
	return nil
}

// awaitStop waits for the stop request and begins the planned stop.
func (p *Process) awaitStop(ctx, stop context.Context) error {
	select {
	case <-stop.Done():
	case <-ctx.Done():
		return ctx.Err()
	}
	p.logger.Info().Msg("planned stop begins")
	p.frontend.DisableKeepAlives()
	p.loop.Post(event.StopRequested{
		BalancerDelay: time.Duration(p.stopSettings().BalancerDelay),
		Grace:         p.environment.ShutdownGrace,
	})
	return nil
}

// listeners holds the listening sockets of a process.
type listeners struct {
	caller, peer, operator net.Listener
	metrics                net.Listener // nil if not configured
}

// operatorListeners returns the listeners that serve /status, /metrics and the
// probes.
func (l listeners) operatorListeners() []net.Listener {
	if l.metrics == nil {
		return []net.Listener{l.operator}
	}
	return []net.Listener{l.operator, l.metrics}
}

func openListeners(l settings.Listen) (listeners, error) {
	var opened listeners
	for _, endpoint := range []struct {
		name     string
		address  settings.Address
		listener *net.Listener
	}{
		{"caller", l.Caller, &opened.caller},
		{"peer", l.Peer, &opened.peer},
		{"operator", l.Operator, &opened.operator},
		{"metrics", l.Metrics, &opened.metrics},
	} {
		if endpoint.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", string(endpoint.address))
		if err != nil {
			return opened, merry.Prependf(err, "listen.%s", endpoint.name)
		}
		*endpoint.listener = listener
	}
	return opened, nil
}
