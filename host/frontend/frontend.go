package frontend

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/backend"
	"pollensail.dev/host/socket"
	"pollensail.dev/host/wire"
)

// Loop is the control loop. *control.Loop implements it.
type Loop interface {
	// Post hands over an event. It returns false when the loop has ended.
	Post(event.Body) bool
}

// Transport makes attempts at backend servers. *backend.Transport implements
// it.
type Transport interface {
	Do(backend.Attempt) (model.AttemptResult, *backend.Answer)
}

// Options are the limits of a Frontend. Zero values mean the defaults.
type Options struct {
	// Connections bounds the open connections; more wait in the backlog of the
	// system. Default 10,000.
	Connections int
	// MaxHeader bounds the header of a request, in bytes. Default 8 KiB.
	MaxHeader int
	// MaxBody bounds the body of a request, in bytes. Default 4 MiB.
	MaxBody int
	// ReadTimeout bounds the reading of a request. Default 10 s.
	ReadTimeout time.Duration
	// WriteTimeout bounds each write to a caller. A caller that accepts
	// nothing for so long is given up. Default 10 s.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection may wait for its next request.
	// Default 60 s.
	IdleTimeout time.Duration
	// Dialect is how callers and servers spell the fleet's fields. Default:
	// wire.Own.
	Dialect wire.Dialect
}

func (o Options) withDefaults() Options {
	setDefault(&o.Connections, 10000)
	setDefault(&o.MaxHeader, 8<<10)
	setDefault(&o.MaxBody, 4<<20)
	setDefault(&o.ReadTimeout, 10*time.Second)
	setDefault(&o.WriteTimeout, 10*time.Second)
	setDefault(&o.IdleTimeout, 60*time.Second)
	o.Dialect = o.Dialect.OrOwn()
	return o
}

func setDefault[T int | time.Duration](value *T, byDefault T) {
	if *value <= 0 {
		*value = byDefault
	}
}

// Frontend serves callers and implements control.Traffic. Make it with New.
type Frontend struct {
	loop      Loop
	transport Transport
	options   Options
	server    *fasthttp.Server
	idPrefix  string // tells the request ids of this process from others
	lastID    atomic.Uint64
	stopping  atomic.Bool
	rejected  atomic.Uint64

	mu       sync.Mutex
	requests map[model.RequestID]*exchange

	abandon   sync.Once
	abandoned chan struct{}
}

// New returns a front end that serves no listener yet.
func New(loop Loop, transport Transport, options Options) *Frontend {
	f := &Frontend{
		loop:      loop,
		transport: transport,
		options:   options.withDefaults(),
		idPrefix:  newIDPrefix(),
		requests:  map[model.RequestID]*exchange{},
		abandoned: make(chan struct{}),
	}
	f.server = f.newServer()
	return f
}

func newIDPrefix() string {
	var b [4]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:]) + "-"
}

func (f *Frontend) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      f.handle,
		ErrorHandler:                 f.handleUnreadable,
		ConnState:                    connState,
		ReadBufferSize:               f.options.MaxHeader,
		MaxRequestBodySize:           f.options.MaxBody,
		ReadTimeout:                  f.options.ReadTimeout,
		IdleTimeout:                  f.options.IdleTimeout,
		Logger:                       discard{},
		SecureErrorLogMessage:        true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
	}
}

// discard drops the messages of fasthttp, which may quote requests.
type discard struct{}

func (discard) Printf(string, ...any) {}

// Serve serves the callers of a listener until Shutdown.
func (f *Frontend) Serve(ln net.Listener) error {
	return f.server.Serve(listener{socket.Limit(ln, f.options.Connections), f.options.WriteTimeout})
}

// BeginStop ends keep-alive: each connection closes after its next answer.
// Requests are served as before.
func (f *Frontend) BeginStop() { f.stopping.Store(true) }

// Abandon tells the front end that the loop has ended and emits no effect any
// more. Requests that wait for one are refused.
func (f *Frontend) Abandon() { f.abandon.Do(func() { close(f.abandoned) }) }

// Shutdown closes the listener and idle connections and waits until every
// request in flight has its answer. When ctx ends first, it abandons those
// that wait for an effect and returns the error of ctx.
func (f *Frontend) Shutdown(ctx context.Context) error {
	f.BeginStop()
	err := f.server.ShutdownWithContext(ctx)
	if err != nil {
		f.Abandon()
	}
	return err
}

// Rejected returns how many requests were refused unread: malformed, too large
// or too slow. The reducer does not see them.
func (f *Frontend) Rejected() uint64 { return f.rejected.Load() }

// nextID returns a new request id and its form in header fields.
func (f *Frontend) nextID() (model.RequestID, string) {
	id := model.RequestID(f.lastID.Add(1))
	return id, f.idPrefix + strconv.FormatUint(uint64(id), 16)
}
