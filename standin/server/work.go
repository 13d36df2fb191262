package server

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"pollensail.dev/standin/wait"
)

// The header fields of requests and responses between pollensail and backend
// servers.
const (
	HeaderRequestID = "Pollensail-Request-Id"
	HeaderTimeout   = "Pollensail-Timeout"
	HeaderState     = "Pollensail-Server-State"
	HeaderLoad      = "Pollensail-Load" // "IN-FLIGHT/SLOTS"
	HeaderShed      = "Pollensail-Shed"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 16 << 20

func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	// The body is read first, because the trailer fields arrive after it.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	s.ledger.addReceived(ReceivedRequest{Method: r.Method, URI: r.RequestURI, Header: r.Header.Clone(), Trailer: r.Trailer})
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	decision := s.decideFaults()
	ctx, cancel := withTimeout(r)
	defer cancel()
	if decision.shed || !s.acquireSlot(ctx) {
		s.respondShed(w)
		return
	}
	defer s.releaseSlot()
	finished := s.execute(ctx, r, decision)
	if !finished {
		s.respondCancelled(w)
		return
	}
	s.respond(ctx, w, r, len(body), decision)
}

// withTimeout returns the request's context with the deadline of its timeout header
// field, if it has one.
func withTimeout(r *http.Request) (context.Context, context.CancelFunc) {
	timeout, err := time.ParseDuration(r.Header.Get(HeaderTimeout))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), timeout)
}

// acquireSlot waits for a slot. It returns false if the queue is full or if the
// request was cancelled while it waited.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return s.recordAcquired()
	default:
	}
	if !s.enqueue() {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		s.dequeue()
		return s.recordAcquired()
	case <-ctx.Done():
		s.dequeue()
		return false
	}
}

func (s *Server) recordAcquired() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InFlight++
	s.stats.Peak = max(s.stats.Peak, s.stats.InFlight)
	return true
}

func (s *Server) enqueue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting >= s.config.MaxQueued {
		return false
	}
	s.waiting++
	return true
}

func (s *Server) dequeue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	s.stats.InFlight--
	s.mu.Unlock()
	<-s.slots
}

func (s *Server) respondShed(w http.ResponseWriter) {
	s.mu.Lock()
	s.stats.Shed++
	s.mu.Unlock()
	s.setStatusHeaders(w)
	w.Header().Set(HeaderShed, "not-run")
	if wait := s.Faults().RetryAfterMillis; wait > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(wait)/1000, 'f', -1, 64))
	}
	http.Error(w, "shed", http.StatusServiceUnavailable)
}

func (s *Server) respondCancelled(w http.ResponseWriter) {
	s.mu.Lock()
	s.stats.Cancelled++
	s.mu.Unlock()
	s.setStatusHeaders(w)
	http.Error(w, "cancelled while running", http.StatusGatewayTimeout)
}

// execute works on a request and reports whether it finished before ctx was done.
// It records the run in the ledger before it begins.
func (s *Server) execute(ctx context.Context, r *http.Request, decision faultDecision) bool {
	index := s.ledger.startRun(Execution{
		RequestID:      r.Header.Get(HeaderRequestID),
		BusinessID:     r.URL.Query().Get("business"),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Path:           r.URL.Path,
		Start:          time.Now(),
	})
	s.mu.Lock()
	s.stats.Ran++
	s.mu.Unlock()
	// An export spends its service time while it streams the response.
	if s.config.Kind != Export && !wait.Sleep(ctx, s.currentServiceTime(decision.faults)) {
		return false
	}
	s.ledger.finishRun(index)
	return true
}

// setStatusHeaders sets the header fields that all responses of the work port have:
// the load and, while draining, the state.
func (s *Server) setStatusHeaders(w http.ResponseWriter) {
	w.Header().Set(HeaderLoad, strconv.Itoa(s.pendingRequests())+"/"+strconv.Itoa(s.config.Concurrency))
	if s.Faults().Drain {
		w.Header().Set(HeaderState, "draining")
	}
}
