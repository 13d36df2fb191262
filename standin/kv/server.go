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

// maxValue is the platform's limit for a value in bytes.
const maxValue = 1 << 20

// maxWait is the time after which a watch answers without a change.
const maxWait = 25 * time.Second

// Server is the stand-in store. It implements http.Handler. Make it with New.
type Server struct {
	handler http.Handler
	values  *values
	hosts   hosts
	leases  leases
	calls   callCounters

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed and replaced by SetFaults
}

type callCounters struct{ Reads, Writes, Watches, Hosts atomic.Uint64 }

// Calls counts the calls since the start. A waiting watch counts once.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"` // leases included
	Watches uint64 `json:"watches"`
	Hosts   uint64 `json:"hosts"`
}

// New returns an empty store without faults.
func New() *Server {
	s := &Server{
		values:        newValues(),
		hosts:         hosts{byID: make(map[string]Host)},
		leases:        leases{byName: make(map[string]lease)},
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
	mux.HandleFunc("POST /standin/lapse/{name}", s.serveLapse)
	mux.HandleFunc("GET /standin/calls", s.serveCalls)
	s.handler = s.withFaults(mux)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Calls returns the calls so far.
func (s *Server) Calls() Calls {
	return Calls{
		Reads:   s.calls.Reads.Load(),
		Writes:  s.calls.Writes.Load(),
		Watches: s.calls.Watches.Load(),
		Hosts:   s.calls.Hosts.Load(),
	}
}

func (s *Server) serveCalls(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, s.Calls()) }

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
		http.Error(w, "after is no version", http.StatusBadRequest)
		return
	}
	s.calls.Watches.Add(1)
	writeEntry(w, s.watch(r.Context(), key, version))
}

// watch waits for a change, the end of the wait or an outage.
func (s *Server) watch(ctx context.Context, key string, after uint64) entry {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
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
	version, err := condition(r.Header)
	if err != nil {
		http.Error(w, err.Error(), http.StatusPreconditionRequired)
		return
	}
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	e, ok := s.values.swap(r.PathValue("key"), version, value)
	if s.loseAnswer(r.PathValue("key")) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", etag(e.version))
	if !ok {
		http.Error(w, "version conflict", http.StatusPreconditionFailed)
	}
}

// condition returns the version that a write expects, 0 for none.
func condition(h http.Header) (uint64, error) {
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
