package kv

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"pollensail.dev/standin/jsonhttp"
)

// Host is an entry of the host list.
type Host struct {
	ID       string `json:"id"`
	Role     string `json:"role"` // "entry" or "backend"
	Domain   string `json:"domain"`
	Service  string `json:"service,omitempty"`
	Peer     string `json:"peer,omitempty"`
	Operator string `json:"operator,omitempty"`
	Leaving  bool   `json:"leaving,omitempty"`
	Since    int64  `json:"since,omitempty"` // Unix time, milliseconds since 1970; set when first listed
}

// hostList is the list of hosts and backend servers.
type hostList struct {
	mu     sync.Mutex
	byID   map[string]Host
	frozen []Host // returned by list instead of byID; nil if not frozen
}

// setFrozen keeps list returning the present list, until it is called with false.
func (h *hostList) setFrozen(frozen bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !frozen {
		h.frozen = nil
	} else if h.frozen == nil {
		h.frozen = h.sorted()
	}
}

func (h *hostList) put(host Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	host.Since = cmp.Or(host.Since, h.byID[host.ID].Since, time.Now().UnixMilli())
	h.byID[host.ID] = host
}

func (h *hostList) remove(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.byID, id)
}

func (h *hostList) list() []Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.frozen != nil {
		return h.frozen
	}
	return h.sorted()
}

// sorted returns the current entries, sorted by ID.
func (h *hostList) sorted() []Host {
	list := make([]Host, 0, len(h.byID))
	for _, host := range h.byID {
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b Host) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

func (s *Server) serveHosts(w http.ResponseWriter, _ *http.Request) {
	s.calls.Hosts.Add(1)
	jsonhttp.Encode(w, s.hosts.list())
}

func (s *Server) servePutHost(w http.ResponseWriter, r *http.Request) {
	var host Host
	if jsonhttp.Decode(w, r, &host) {
		host.ID = r.PathValue("id")
		s.hosts.put(host)
	}
}

func (s *Server) serveDeleteHost(_ http.ResponseWriter, r *http.Request) {
	s.hosts.remove(r.PathValue("id"))
}
