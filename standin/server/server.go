package server

import (
	"net/http"
	"sync"
	"time"
)

// Server is a stand-in backend server. Make it with New; Listen serves it.
type Server struct {
	config Config
	slots  chan struct{} // holds a token for each request in a slot
	ledger ledger

	mu       sync.Mutex
	faults   Faults
	shares   shares
	started  time.Time // the cold start counts from here
	flapping time.Time // the flapping counts from here
	waiting  int       // requests that wait for a slot
	stats    Stats
	last     answer // the last whole answer, for crossed answers
	listen   listener
}

// Stats counts work requests since the start.
type Stats struct {
	Received  int `json:"received"`
	Ran       int `json:"ran"`
	Shed      int `json:"shed"`
	Failed    int `json:"failed"`
	Cancelled int `json:"cancelled"`
	InFlight  int `json:"in_flight"`
	Peak      int `json:"peak_in_flight"`
}

// New returns a server without faults.
func New(config Config) *Server {
	return &Server{
		config:  config,
		slots:   make(chan struct{}, config.Slots),
		started: time.Now(),
	}
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) error {
	s.mu.Lock()
	if f.Cold && !s.faults.Cold {
		s.started = time.Now()
	}
	if f.FlapMillis != s.faults.FlapMillis {
		s.flapping = time.Now()
	}
	s.faults = f
	s.mu.Unlock()
	return s.listen.set(!f.Refuse)
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Runs returns what ran.
func (s *Server) Runs() []Run { return s.ledger.copyRuns() }

// Received returns the requests as they arrived, bodies excepted.
func (s *Server) Received() []Received { return s.ledger.copyReceived() }

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Work returns the handler of the work port.
func (s *Server) Work() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveHealth)
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("/", s.serveWork)
	return mux
}

// load returns the requests in slots and waiting.
func (s *Server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats.InFlight + s.waiting
}

// workTime returns how long a request takes now.
func (s *Server) workTime(f Faults) time.Duration {
	d := s.config.Work
	s.mu.Lock()
	started := s.started
	s.mu.Unlock()
	if time.Since(started) < s.config.ColdFor {
		d *= time.Duration(max(s.config.ColdFactor, 1))
	}
	return d + time.Duration(f.DelayMillis)*time.Millisecond
}
