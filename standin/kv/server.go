package kv

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pollensail.dev/standin/jsonhttp"
)

// maxValueBytes is the platform's limit for the size of a value.
const maxValueBytes = 1 << 20

// watchTimeout is how long a watch (long poll) waits for a change before it returns
// the unchanged entry.
const watchTimeout = 25 * time.Second

// Server is the stand-in for the store. It implements http.Handler. Use New to
// create one.
type Server struct {
	handler http.Handler
	values  *valueStore
	hosts   hostList
	leases  leaseTable
	calls   callCounters

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed and replaced by SetFaults
}

type callCounters struct{ Reads, Writes, Watches, Hosts atomic.Uint64 }

// Calls counts the requests since New. A watch counts once, however long it waits.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"` // leases included
	Watches uint64 `json:"watches"`
	Hosts   uint64 `json:"hosts"`
}

// New returns an empty store without faults.
func New() *Server {
	s := &Server{
		values:        newValueStore(),
		hosts:         hostList{byID: make(map[string]Host)},
		leases:        leaseTable{byName: make(map[string]lease)},
		faultsChanged: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.serveGet)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.servePut)
	mux.HandleFunc("GET /v1/hosts", s.serveHosts)
	mux.HandleFunc("PUT /v1/hosts/{id}", s.servePutHost)
	mux.HandleFunc("DELETE /v1/hosts/{id}", s.serveDeleteHost)
	mux.HandleFunc("PUT /v1/leases/{name}", s.serveLease)
	mux.HandleFunc("PUT /standin/faults", s.servePutFaults)
	mux.HandleFunc("GET /standin/faults", s.serveFaults)
	mux.HandleFunc("POST /standin/lapse/{name}", s.serveExpireLease)
	mux.HandleFunc("GET /standin/calls", s.serveCalls)
	s.handler = s.withFaults(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Calls returns the current counts.
func (s *Server) Calls() Calls {
	return Calls{
		Reads:   s.calls.Reads.Load(),
		Writes:  s.calls.Writes.Load(),
		Watches: s.calls.Watches.Load(),
		Hosts:   s.calls.Hosts.Load(),
	}
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) { jsonhttp.Encode(w, s.Calls()) }

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	after := r.URL.Query().Get("after")
	if after == "" {
		s.calls.Reads.Add(1)
		writeEntry(w, s.values.get(key))
		return
	}
	version, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		http.Error(w, "query parameter \"after\": expected a version number", http.StatusBadRequest)
		return
	}
	s.calls.Watches.Add(1)
	writeEntry(w, s.watch(r.Context(), key, version))
}

// watch waits until the key has a newer version than after, until watchTimeout has
// passed or until an outage begins.
func (s *Server) watch(ctx context.Context, key string, after uint64) entry {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	go s.cancelOnOutage(ctx, cancel)
	e := s.values.wait(ctx, key, after)
	if f, _ := s.currentFaults(); f.Outage {
		panic(http.ErrAbortHandler)
	}
	return e
}

func (s *Server) cancelOnOutage(ctx context.Context, cancel context.CancelFunc) {
	for {
		f, changed := s.currentFaults()
		if f.Outage {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	s.calls.Writes.Add(1)
	version, err := expectedVersion(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	e, ok := s.values.compareAndSwap(r.PathValue("key"), version, value)
	if s.shouldLoseResponse(r.PathValue("key")) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(e.version))
	if !ok {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
	}
}

// expectedVersion returns the version that the precondition of a write expects, or 0
// if the key must not exist.
func expectedVersion(h http.Header) (uint64, error) {
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(h.Get("If-Match"), `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, errors.New("expected If-Match with a version, or If-None-Match: *")
	}
	return version, nil
}

func writeEntry(w http.ResponseWriter, e entry) {
	if e.version == 0 {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(e.version))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(e.value)
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }
