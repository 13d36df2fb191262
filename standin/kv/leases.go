package kv

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

type lease struct {
	holder  string
	expires time.Time
}

type leaseTable struct {
	mu     sync.Mutex
	byName map[string]lease
}

// acquire grants or renews a lease and reports whether holder holds it now.
func (l *leaseTable) acquire(name, holder string, ttl time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	current, ok := l.byName[name]
	if ok && current.holder != holder && now.Before(current.expires) {
		return false
	}
	l.byName[name] = lease{holder: holder, expires: now.Add(ttl)}
	return true
}

// expire ends a lease before its time.
func (l *leaseTable) expire(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byName, name)
}

func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	s.calls.Writes.Add(1)
	var request struct {
		Holder    string `json:"holder"`
		TTLMillis int64  `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Holder == "" || request.TTLMillis <= 0 {
		http.Error(w, "expected holder and ttl_ms", http.StatusBadRequest)
		return
	}
	acquired := s.leases.acquire(r.PathValue("name"), request.Holder, time.Duration(request.TTLMillis)*time.Millisecond)
	if s.shouldLoseResponse(r.PathValue("name")) {
		panic(http.ErrAbortHandler)
	}
	if !acquired {
		http.Error(w, "held by another", http.StatusConflict)
	}
}

func (s *Server) serveExpireLease(_ http.ResponseWriter, r *http.Request) {
	s.leases.expire(r.PathValue("name"))
}
