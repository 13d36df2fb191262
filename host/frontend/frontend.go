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
	// Post enqueues an event. It returns false if the loop has ended.
	Post(event.Body) bool
}

// Transport sends requests to backend servers. *backend.Transport implements
// it.
type Transport interface {
	Do(backend.Attempt) (model.AttemptResult, *backend.Response)
	// ResponseBytes returns the memory of responses that are read whole.
	ResponseBytes() int
}

// Options are the limits of a Frontend. Zero values mean the defaults.
type Options struct {
	// MaxConnections is the maximum number of open connections. Further ones
	// wait in the listen backlog of the operating system. Default 10,000.
	MaxConnections int
	// MaxHeaderBytes is the maximum size of a request header, in bytes. Default
	// 8 KiB.
	MaxHeaderBytes int
	// MaxBodyBytes is the maximum size of a request body, in bytes. Default
	// 4 MiB.
	MaxBodyBytes int
	// BoundsMemory says that memory for bodies is granted by the control loop.
	BoundsMemory bool
	// ReadTimeout is the timeout for reading a whole request. Default 10 s.
	ReadTimeout time.Duration
	// WriteTimeout is the timeout for each write to a caller. The connection of
	// a caller that accepts no data for so long is closed. Default 10 s.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between requests.
	// Default 60 s.
	IdleTimeout time.Duration
	// Dialect defines the header fields that the fleet exchanges with callers
	// and servers. Default: wire.DefaultDialect.
	Dialect wire.Dialect
}

func (o Options) withDefaults() Options {
	setDefault(&o.MaxConnections, 10000)
	setDefault(&o.MaxHeaderBytes, 8<<10)
	setDefault(&o.MaxBodyBytes, 4<<20)
	setDefault(&o.ReadTimeout, 10*time.Second)
	setDefault(&o.WriteTimeout, 10*time.Second)
	setDefault(&o.IdleTimeout, 60*time.Second)
	o.Dialect = o.Dialect.OrDefault()
	return o
}

func setDefault[T int | time.Duration](value *T, byDefault T) {
	if *value <= 0 {
		*value = byDefault
	}
}

// Frontend serves callers and implements control.Traffic. Create it with New.
type Frontend struct {
	loop           Loop
	transport      Transport
	options        Options
	server         *fasthttp.Server
	idPrefix       string // makes request IDs differ between processes
	lastID         atomic.Uint64
	stopping       atomic.Bool
	rejectedUnread atomic.Uint64
	memoryRefused  atomic.Uint64

	open openConns

	mu       sync.Mutex
	requests map[model.RequestID]*exchange

	loopEndedOnce sync.Once
	loopEnded     chan struct{} // closed by RefusePending
}

// New returns a Frontend. Serve starts it.
func New(loop Loop, transport Transport, options Options) *Frontend {
	f := &Frontend{
		loop:      loop,
		transport: transport,
		options:   options.withDefaults(),
		idPrefix:  newIDPrefix(),
		requests:  map[model.RequestID]*exchange{},
		loopEnded: make(chan struct{}),
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
		ErrorHandler:                 f.handleReadError,
		ConnState:                    connState,
		ReadBufferSize:               f.options.MaxHeaderBytes,
		MaxRequestBodySize:           f.options.MaxBodyBytes,
		StreamRequestBody:            true, // readBody reads it
		HeaderReceived:               f.checkAnnouncedLength,
		ReadTimeout:                  f.options.ReadTimeout,
		IdleTimeout:                  f.options.IdleTimeout,
		Logger:                       discardLogger{},
		SecureErrorLogMessage:        true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
	}
}

// discardLogger drops the log messages of fasthttp, because they may contain
// parts of requests.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections of callers from a listener until Shutdown.
func (f *Frontend) Serve(ln net.Listener) error {
	return f.server.Serve(listener{socket.LimitListener(ln, f.options.MaxConnections), f.options.WriteTimeout, &f.open})
}

// DisableKeepAlives disables keep-alive: each connection closes after its next
// response. Requests are still served.
func (f *Frontend) DisableKeepAlives() { f.stopping.Store(true) }

// RefusePending is called when the control loop has ended and emits no more
// effects. It refuses the requests that wait for one.
func (f *Frontend) RefusePending() { f.loopEndedOnce.Do(func() { close(f.loopEnded) }) }

// closeWaitingInterval is the time between closing the connections that wait for a
// request during Shutdown. fasthttp closes those that it holds to be idle, among
// them one whose next request has just begun, so Shutdown starts it that much after
// the waiting ones are closed.
const closeWaitingInterval = 100 * time.Millisecond

// Shutdown closes the listener and the connections that wait for a request, also
// those that never had one, and waits for the requests in flight to complete. If
// ctx ends first, it refuses those that wait for an effect and returns the error of
// ctx.
func (f *Frontend) Shutdown(ctx context.Context) error {
	f.DisableKeepAlives()
	f.open.closeWaiting()
	ticker := time.NewTicker(closeWaitingInterval)
	defer ticker.Stop()
	<-ticker.C
	f.open.isClosing.Store(true) // not before fasthttp, which serves pipelined requests until then
	ended := make(chan error, 1)
	go func() { ended <- f.server.ShutdownWithContext(ctx) }()
	for {
		select {
		case <-ticker.C:
			f.open.closeWaiting()
		case err := <-ended:
			if err != nil {
				f.RefusePending()
				return err
			}
			return f.awaitClosed(ctx)
		}
	}
}

// awaitClosed waits for the connections that are being closed: fasthttp ends its
// shutdown before it closes the last ones, and the end of the process would reset
// those with unread bytes.
func (f *Frontend) awaitClosed(ctx context.Context) error {
	select {
	case <-f.open.allClosed():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RejectedUnread returns the number of requests that were refused before the
// reducer saw them, because they were malformed, too large or too slow.
func (f *Frontend) RejectedUnread() uint64 { return f.rejectedUnread.Load() }

// MemoryRefused returns the number of requests that were refused while their body was
// received, for lack of memory.
func (f *Frontend) MemoryRefused() uint64 { return f.memoryRefused.Load() }

// nextID returns a new request ID, as a number and as it is written in header
// fields.
func (f *Frontend) nextID() (model.RequestID, string) {
	id := model.RequestID(f.lastID.Add(1))
	return id, f.idPrefix + strconv.FormatUint(uint64(id), 16)
}
