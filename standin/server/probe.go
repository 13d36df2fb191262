package server

import (
	"net/http"

	"pollensail.dev/standin/jsonhttp"
)

// Load is the JSON body of /load.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// serveHealth succeeds even if real work fails, as in a gray failure, unless the
// server drains or has the fault Unhealthy.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.setStatusHeaders(w)
	f := s.Faults()
	switch {
	case f.Unhealthy:
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
	case f.Drain:
		http.Error(w, "draining", http.StatusServiceUnavailable)
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.setStatusHeaders(w)
	jsonhttp.Encode(w, Load{InFlight: s.pendingRequests(), Slots: s.config.Concurrency})
}
