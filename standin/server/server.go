package server

import (
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in for a backend server. Use New to create one and Listen to
// serve it.
type Server struct {
	config Config
	slots  chan struct{} // semaphore: one element for each running request
	ledger ledger

	mu           sync.Mutex
	faults       Faults
	samplers     faultSamplers
	coldStart    time.Time   // when the latest cold start began
	flapStart    time.Time   // when flapping with the current period began
	coldArrivals []time.Time // of the last second of a cold start
	waiting      int         // requests that wait for a slot
	stats        Stats
	lastResponse response // for crossed responses
	workPort     workPort
}

// Stats counts the work requests since New.
type Stats struct {
	Received  int `json:"received"`
	Ran       int `json:"ran"`
	Shed      int `json:"shed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	InFlight  int `json:"in_flight"`
	Peak      int `json:"peak_in_flight"`
	// Cold counts the requests that arrived during cold starts, and ColdPeak the
	// most that did so in any one second.
	Cold     int `json:"cold"`
	ColdPeak int `json:"cold_peak"`
}

// New returns a server without faults.
func New(config Config) *Server {
	return &Server{
		config:    config,
		slots:     make(chan struct{}, config.Concurrency),
		coldStart: time.Now(),
	}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) error {
	s.mu.Lock()
	if f.Cold && !s.faults.Cold {
		s.coldStart = time.Now()
	}
	if f.FlapMillis != s.faults.FlapMillis {
		s.flapStart = time.Now()
	}
	s.faults = f
	s.mu.Unlock()
	return s.workPort.setOpen(!f.Refuse)
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Executions returns the recorded executions.
func (s *Server) Executions() []Execution { return s.ledger.copyRuns() }

// Received returns the recorded requests as they arrived, without their bodies.
func (s *Server) Received() []ReceivedRequest { return s.ledger.copyReceived() }

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// WorkHandler returns the handler of the work port.
func (s *Server) WorkHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveWork)
	return mux
}

// pendingRequests returns the number of requests that run or wait for a slot.
func (s *Server) pendingRequests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats.InFlight + s.waiting
}

// currentServiceTime returns how long a request takes at present, with the cold
// start and the injected delay.
func (s *Server) currentServiceTime(f Faults) time.Duration {
	d := s.config.ServiceTime
	s.mu.Lock()
	isCold := s.isCold(time.Now())
	s.mu.Unlock()
	if isCold {
		d *= time.Duration(max(s.config.ColdFactor, 1))
	}
	return d + time.Duration(f.DelayMillis)*time.Millisecond
}
