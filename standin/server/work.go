package server

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"pollensail.dev/standin/wait"
)

// The headers between pollensail and backend servers.
const (
	HeaderRequestID = "Pollensail-Request-Id"
	HeaderTimeout   = "Pollensail-Timeout"
	HeaderState     = "Pollensail-Server-State"
	HeaderLoad      = "Pollensail-Load" // "in flight/slots"
	HeaderShed      = "Pollensail-Shed"
)

// maxBody bounds a request's body in bytes.
const maxBody = 16 << 20

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	// The body is read first: trailers arrive after it.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	s.ledger.receive(Received{Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone(), Trailer: r.Trailer})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p := s.plan()
	ctx, cancel := withTimeout(r)
	defer cancel()
	if p.shed || !s.enter(ctx) {
		s.shed(w)
		return
	}
	defer s.leave()
	finished := s.run(ctx, r, p)
	if !finished {
		s.cancelled(w)
		return
	}
	s.answer(ctx, w, r, len(body), p)
}

// withTimeout returns the request's context, bounded by its timeout header.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	timeout, err := time.ParseDuration(r.Header.Get(HeaderTimeout))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), timeout)
}

// enter waits for a slot and reports false when the request is to be shed or
// was cancelled before it ran.
func (s *Server) enter(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return s.entered()
	default:
	}
	if !s.wait() {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		s.unwait()
		return s.entered()
	case <-ctx.Done():
		s.unwait()
		return false
	}
}

func (s *Server) entered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InFlight++
	s.stats.Peak = max(s.stats.Peak, s.stats.InFlight)
	return true
}

func (s *Server) wait() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.config.Queue {
		return false
	}
	s.waiting++
	return true
}

func (s *Server) unwait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

func (s *Server) leave() {
	s.mu.Lock()
	s.stats.InFlight--
	s.mu.Unlock()
	<-s.slots
}

func (s *Server) shed(w http.ResponseWriter) {
	s.mu.Lock()
	s.stats.Shed++
	s.mu.Unlock()
	s.stamp(w)
	w.Header().Set(HeaderShed, "not-run")
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func (s *Server) cancelled(w http.ResponseWriter) {
	s.mu.Lock()
	s.stats.Cancelled++
	s.mu.Unlock()
	s.stamp(w)
	http.Error(w, "cancelled while running", http.StatusGatewayTimeout)
}

// run works on a request and reports whether it finished before ctx ended.
// What started is in the ledger from the start on.
func (s *Server) run(ctx context.Context, r *http.Request, p plan) bool {
	index := s.ledger.start(Run{
		Request:  r.Header.Get(HeaderRequestID),
		Business: r.URL.Query().Get("business"),
		Key:      r.Header.Get("Idempotency-Key"),
		Path:     r.URL.Path,
		Start:    time.Now(),
	})
	s.mu.Lock()
	s.stats.Ran++
	s.mu.Unlock()
	// An export spends the time of its work on the stream.
	if s.config.Kind != Export && !wait.For(ctx, s.workTime(p.faults)) {
		return false
	}
	s.ledger.finish(index)
	return true
}

// stamp sets the headers of every answer of the work port.
func (s *Server) stamp(w http.ResponseWriter) {
	w.Header().Set(HeaderLoad, strconv.Itoa(s.load())+"/"+strconv.Itoa(s.config.Slots))
	if s.Faults().Drain {
		w.Header().Set(HeaderState, "draining")
	}
}
