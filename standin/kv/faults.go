package kv

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"pollensail.dev/standin/jsonhttp"
)

// Faults are the injected faults. The zero value means none.
type Faults struct {
	// Outage closes every connection for keys and leases without a response, those
	// of waiting watches too. It leaves the host list alone, which is a separate
	// service of the platform.
	Outage bool `json:"outage"`
	// HostsOutage closes every connection that reads the host list without a
	// response.
	HostsOutage bool `json:"hosts_outage"`
	// HostsFrozen keeps returning the host list as it was when the fault was switched
	// on. Changes become visible when it is switched off.
	HostsFrozen bool `json:"hosts_frozen"`
	// LostResponses is the number of following writes that take effect but
	// whose connection is closed without a response. A negative number means
	// all writes.
	LostResponses int `json:"lost_answers"`
	// LostKey limits LostResponses to the writes of one key or lease; empty
	// means all of them. Hosts renew their slots all the time, so without a key
	// it is not certain whose responses are lost.
	LostKey string `json:"lost_key"`
	// DelayMillis delays every request before it takes effect. A write takes effect
	// even if its sender gave up in the meantime.
	DelayMillis int `json:"delay_ms"`
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.hosts.setFrozen(f.HostsFrozen)
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// currentFaults returns the injected faults and a channel that is closed when they
// change.
func (s *Server) currentFaults() (Faults, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faultsChanged
}

// shouldLoseResponse reports whether the response to a write of the key or lease is
// to be lost, and counts it as one of LostResponses.
func (s *Server) shouldLoseResponse(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostKey != "" && s.faults.LostKey != key {
		return false
	}
	if s.faults.LostResponses > 0 {
		s.faults.LostResponses--
		return true
	}
	return s.faults.LostResponses < 0
}

// withFaults is the middleware that applies outages and the delay to the platform's
// protocol, but not to the control requests of tests.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/v1/") {
			next.ServeHTTP(w, r)
			return
		}
		if err := bufferBody(r); err != nil {
			panic(http.ErrAbortHandler)
		}
		s.delay()
		if s.inOutage(r) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// inOutage reports whether an outage affects the request. Changes of the host list
// come from tests and always succeed.
func (s *Server) inOutage(r *http.Request) bool {
	f, _ := s.currentFaults()
	if strings.HasPrefix(r.URL.Path, "/v1/hosts") {
		return f.HostsOutage && r.Method == http.MethodGet
	}
	return f.Outage
}

// bufferBody reads the body into memory, so that it is available after a delay even
// if the sender has closed the connection.
func bufferBody(r *http.Request) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// delay waits for the injected delay or until the faults change.
func (s *Server) delay() {
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
	if jsonhttp.Decode(w, r, &f) {
		s.SetFaults(f)
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	f, _ := s.currentFaults()
	jsonhttp.Encode(w, f)
}
