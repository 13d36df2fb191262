package kv

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"pollensail.dev/standin/jsonhttp"
)

// Faults are the faults in force. The zero value is none.
type Faults struct {
	// Outage cuts every connection for keys and leases without an answer,
	// waiting watches too. The host list is another service of the platform.
	Outage bool `json:"outage"`
	// HostsOutage cuts every connection for the host list.
	HostsOutage bool `json:"hosts_outage"`
	// HostsFrozen keeps the host list as it was when the fault was switched
	// on; changes show when it is off.
	HostsFrozen bool `json:"hosts_frozen"`
	// LostAnswers is how many of the next writes take effect although their
	// connection is cut; negative for all.
	LostAnswers int `json:"lost_answers"`
	// LostKey is the key whose writes lose their answers; empty: all keys and
	// leases. Hosts renew their slots all the time, so a count without a key does
	// not tell whose answers are lost.
	LostKey string `json:"lost_key"`
	// DelayMillis delays every request before it takes effect. A write whose
	// sender gave up meanwhile takes effect nevertheless.
	DelayMillis int `json:"delay_ms"`
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.hosts.freeze(f.HostsFrozen)
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func (s *Server) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faultsChanged
}

// loseAnswer reports whether the answer to a write of a key is to be lost.
func (s *Server) loseAnswer(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostKey != "" && s.faults.LostKey != key {
		return false
	}
	if s.faults.LostAnswers > 0 {
		s.faults.LostAnswers--
		return true
	}
	return s.faults.LostAnswers < 0
}

// withFaults applies outage and delay to the platform's protocol.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/") {
			next.ServeHTTP(w, r)
			return
		}
		if err := buffer(r); err != nil {
			panic(http.ErrAbortHandler)
		}
		s.pause()
		if s.isOut(r) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// isOut reports whether the request meets an outage. Changes of the host list
// come from tests and always pass.
func (s *Server) isOut(r *http.Request) bool {
	f, _ := s.currentFaults()
	if strings.HasPrefix(r.URL.Path, "/v1/hosts") {
		return f.HostsOutage && r.Method == http.MethodGet
	}
	return f.Outage
}

// buffer reads the body, so that it is there after a delay although the sender
// has closed the connection.
func buffer(r *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// pause waits for the delay or a change of the faults.
func (s *Server) pause() {
	f, changed := s.currentFaults()
	if f.DelayMillis <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(f.DelayMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	}
}

func (s *Server) servePutFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if jsonhttp.Read(w, r, &f) {
		s.SetFaults(f)
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	f, _ := s.currentFaults()
	jsonhttp.Write(w, f)
}
