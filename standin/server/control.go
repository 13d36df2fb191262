package server

import (
	"net/http"

	"pollensail.dev/standin/jsonhttp"
)

// Control returns the handler of the control port.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, s.Faults()) })
	mux.HandleFunc("PUT /faults", s.servePutFaults)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, s.Runs()) })
	mux.HandleFunc("GET /received", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, s.Received()) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, s.Stats()) })
	return mux
}

func (s *Server) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !jsonhttp.Read(w, r, &f) {
		return
	}
	if err := s.SetFaults(f); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
