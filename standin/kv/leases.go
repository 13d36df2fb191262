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

type leases struct {
	mu     sync.Mutex
	byName map[string]lease
}

// take grants or renews a lease and reports whether holder has it.
func (l *leases) take(name, holder string, ttl time.Duration) bool {
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

func (l *leases) lapse(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byName, name)
}

func (s *Server) serveLease(w http.ResponseWriter, r *http.Request) {
	s.calls.Writes.Add(1)
	var ask struct {
		Holder    string `json:"holder"`
		TTLMillis int64  `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil || ask.Holder == "" || ask.TTLMillis <= 0 {
		http.Error(w, "expected holder and ttl_ms", http.StatusBadRequest)
		return
	}
	taken := s.leases.take(r.PathValue("name"), ask.Holder, time.Duration(ask.TTLMillis)*time.Millisecond)
	if s.loseAnswer(r.PathValue("name")) {
		panic(http.ErrAbortHandler)
	}
	if !taken {
		http.Error(w, "held by another", http.StatusConflict)
	}
}

func (s *Server) serveLapse(_ http.ResponseWriter, r *http.Request) {
	s.leases.lapse(r.PathValue("name"))
}
