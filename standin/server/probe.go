package server

import (
	"net/http"

	"pollensail.dev/standin/jsonhttp"
)

// Load is the JSON of /load.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// serveHealth passes whatever becomes of real work, as a gray failure does,
// unless the server drains or is told to be unhealthy.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.stamp(w)
	f := s.Faults()
	switch {
	case f.Unhealthy:
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
	case f.Drain:
		http.Error(w, "draining", http.StatusServiceUnavailable)
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.stamp(w)
	jsonhttp.Write(w, Load{InFlight: s.load(), Slots: s.config.Slots})
}
