package server

import (
	"net/http"

	"pollensail.dev/standin/jsonhttp"
)

// ControlHandler returns the handler of the control port.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Encode(w, s.Faults()) })
	mux.HandleFunc("PUT /faults", s.servePutFaults)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Encode(w, s.Executions()) })
	mux.HandleFunc("GET /received", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Encode(w, s.Received()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Encode(w, s.Stats()) })
	return mux
}

func (s *Server) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !jsonhttp.Decode(w, r, &f) {
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
