package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as PROTOCOL.md shows it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// lease is a lease with its time to live.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// image is the content of the store at one moment.
type image struct {
	at       time.Time
	revision uint64
	items    map[string]item
	leases   map[uint64]lease
	history  []item
}

// platformStore is a stand-in of the platform's metadata store. It keeps copies of
// itself, so that a drill can bring back one that is some seconds old.
type platformStore struct {
	address string

	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	leases    map[uint64]lease
	nextLease uint64
	history   []item // changes, oldest first
	dropped   uint64 // revision up to which the history is gone
	era       uint64
	isDown    bool
	copies    []image
	changed   chan struct{} // closed at each change
	// refuses says whether a caller, by its address without the port, is turned away.
	refuses func(host string) bool
}

func newStore() *platformStore {
	s := &platformStore{
		revision: 100, items: map[string]item{}, leases: map[uint64]lease{}, nextLease: 7000, era: 1,
		dropped: 100, changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s) }()
	go s.run()
	return s
}

// run ends leases and takes copies.
func (s *platformStore) run() {
	for tick := 0; ; tick++ {
		time.Sleep(100 * time.Millisecond)
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.isDown && time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		if tick%2 == 0 {
			s.copies = append(s.copies, s.copyImage())
		}
		s.mu.Unlock()
	}
}

// copyImage requires s.mu.
func (s *platformStore) copyImage() image {
	c := image{at: time.Now(), revision: s.revision, items: map[string]item{}, leases: map[uint64]lease{}}
	for k, v := range s.items {
		c.items[k] = v
	}
	for k, v := range s.leases {
		c.leases[k] = v
	}
	c.history = slices.Clone(s.history)
	return c
}

// stop makes the store fall silent to all callers; pending calls are cut.
func (s *platformStore) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = true
	s.notify()
}

// restore brings the store back from the newest copy that is at least that old.
func (s *platformStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := time.Now().Add(-age)
	for _, c := range slices.Backward(s.copies) {
		if c.at.Before(limit) {
			s.revision, s.items, s.leases = c.revision, c.items, c.leases
			s.history, s.dropped = nil, c.revision
			break
		}
	}
	for id, l := range s.leases {
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.era++
	s.isDown = false
	s.notify()
}

func (s *platformStore) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDown = false
	s.notify()
}

func (s *platformStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a server does, and returns the moment of the
// acknowledgement.
func (s *platformStore) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, data, 0)
	s.notify()
	return time.Now()
}

func (s *platformStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.delete(key)
	s.notify()
}

// get returns the value of a key, for the record of a case.
func (s *platformStore) get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

func (s *platformStore) write(key string, value []byte, leaseID uint64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *platformStore) delete(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *platformStore) endLease(id uint64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	s.mu.Lock()
	turnedAway := s.refuses != nil && s.refuses(host)
	down := s.isDown
	s.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler) // the connection is reset
	case turnedAway:
		reply(w, s, http.StatusServiceUnavailable, nil)
	case r.URL.Path == "/api/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/api/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/api/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/api/kv-txn":
		s.serveTxn(w, r)
	default:
		s.serveLease(w, r)
	}
}

func reply(w http.ResponseWriter, s *platformStore, status int, body any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

type page struct {
	Items      []item `json:"items,omitempty"`
	Events     []item `json:"events,omitempty"`
	HasMore    bool   `json:"has_more"`
	CurrentRev uint64 `json:"current_rev"`
}

func (s *platformStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, s, http.StatusNotFound, map[string]any{"current_rev": rev})
		return
	}
	reply(w, s, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"current_rev"`
	}{i, rev})
}

func (s *platformStore) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := page{CurrentRev: s.revision, Items: []item{}}
	for key, i := range s.items {
		if strings.HasPrefix(key, q.Get("path_prefix")) && key > q.Get("after") {
			p.Items = append(p.Items, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	if len(p.Items) > 500 {
		p.Items, p.HasMore = p.Items[:500], true
	}
	reply(w, s, http.StatusOK, p)
}

func (s *platformStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.isDown {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		p := page{CurrentRev: s.revision, Events: []item{}}
		gone := after < s.dropped || after > s.revision
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path_prefix")) {
				p.Events = append(p.Events, i)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		switch {
		case gone:
			reply(w, s, http.StatusGone, nil)
			return
		case len(p.Events) > 0:
			reply(w, s, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			reply(w, s, http.StatusOK, p)
			return
		}
	}
}

type txn struct {
	ExpectedRev []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_rev"`
	Writes []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *platformStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		reply(w, s, http.StatusBadRequest, nil)
		return
	}
	status, body := s.commit(t)
	reply(w, s, status, body)
}

func (s *platformStore) commit(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.ExpectedRev {
		if s.items[c.Key].Revision != c.Revision {
			var now []item
			for _, c := range t.ExpectedRev {
				now = append(now, s.items[c.Key])
			}
			return http.StatusPreconditionFailed, map[string]any{"items": now}
		}
	}
	for _, e := range t.Writes {
		if _, ok := s.leases[e.Lease]; e.Lease > 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, e := range t.Writes {
		s.write(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		s.delete(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *platformStore) serveLease(w http.ResponseWriter, r *http.Request) {
	_, idText, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/"), "/")
	id, _ := strconv.ParseUint(idText, 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	status := http.StatusOK
	var body any
	switch {
	case r.URL.Path == "/api/kv-lease":
		var asked struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&asked)
		ttl, err := time.ParseDuration(asked.TTL)
		if err != nil {
			status = http.StatusBadRequest
			break
		}
		s.nextLease++
		s.leases[s.nextLease] = lease{ttl, time.Now().Add(ttl)}
		body = map[string]any{"lease": s.nextLease, "ttl_time": fmt.Sprintf("%dms", ttl.Milliseconds())}
	case !ok:
		status = http.StatusNotFound
	case strings.HasPrefix(r.URL.Path, "/api/kv-keep/"):
		l.expires = time.Now().Add(l.ttl)
		s.leases[id] = l
		body = map[string]any{"ttl_time": fmt.Sprintf("%dms", l.ttl.Milliseconds())}
	default:
		s.endLease(id)
	}
	s.mu.Unlock()
	reply(w, s, status, body)
}
