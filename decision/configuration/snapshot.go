package configuration

import (
	"crypto/subtle"
	"time"

	"pollensail.dev/decision/model"
)

// Snapshot is a tree compiled for serving. It is immutable.
type Snapshot struct {
	Version uint64
	// Domains are the fleet's failure domains, in order.
	Domains []model.DomainID
	// SlotsPerDomain is the number of slots in each failure domain.
	SlotsPerDomain int
	// ListAge is how old a host's view of the platform's list may be before the
	// host follows the list itself; 0: each host always does.
	ListAge time.Duration
	// Withdrawal is how soon a withdrawn key must stop working on every host,
	// in touch with the store or not; 0: valid keys go on working while the
	// store is down for all.
	Withdrawal time.Duration
	Accounts   map[model.AccountID]*Account
	Keys       map[model.KeyHash]model.AccountID
	Services   map[model.ServiceID]*Service
	Routes     map[model.RouteID]*Route
	index      routeIndex
	inner      map[Path]Settings // the branches that objects inherit from
}

// Account is a client account.
type Account struct {
	ID model.AccountID
	// Name is what backend servers are told; empty: the id.
	Name  string
	Rate  float64 // requests a second over the whole fleet; 0: no limit
	Burst int     // requests
	// Weight is the share in fair queues. Default 1.
	Weight int
	// Routes are the routes or branches of routes that the account may use;
	// empty allows all.
	Routes []string
	Keys   []model.KeyHash
	// Priority is the rank of the account's requests, 0 the highest. Where
	// HasPriority it goes before the route's.
	Priority    int
	HasPriority bool
}

// Route maps requests to a service.
type Route struct {
	ID model.RouteID
	// Hosts are the names in the Host field that the route is for, in lower
	// case; empty takes every request that no route with a name matches.
	Hosts   []string
	Path    string          // prefix of the request path, ends at "/" or the end
	Methods []string        // empty allows all
	Service model.ServiceID // empty with Split
	// Split divides the requests between services by weight.
	Split []Part
	Class model.Class
	// Open routes need no key and count against no account.
	Open bool
	// Idempotent requests may be sent again after MayHaveRun. Default: class
	// Mutation is not, the others are.
	Idempotent bool
	// NeedsIdempotencyKey says that a request that is not idempotent must
	// carry a key; without, at most one attempt of it may run and the fleet
	// recognizes no repetition.
	NeedsIdempotencyKey bool
	Timeout             time.Duration // when the caller gives none, and the longest allowed
	// Target is the latency within which an answer is of full use; 0: none.
	Target time.Duration
	// Attempts bounds the servers that one request is sent to.
	Attempts int
	// Priority is the rank of the route's requests, 0 the highest.
	Priority int
}

// Part is a service's share of a route's requests.
type Part struct {
	Service model.ServiceID
	Weight  int
}

// Services returns every service that the route sends requests to.
func (r *Route) Services() []model.ServiceID {
	if len(r.Split) == 0 {
		return []model.ServiceID{r.Service}
	}
	services := make([]model.ServiceID, len(r.Split))
	for i, part := range r.Split {
		services[i] = part.Service
	}
	return services
}

// ServiceFor returns the service of a request. point is a number that is spread
// evenly over all values.
func (r *Route) ServiceFor(point uint64) model.ServiceID {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := uint64(0)
	for _, part := range r.Split {
		total += uint64(part.Weight)
	}
	point %= total
	for _, part := range r.Split {
		if point < uint64(part.Weight) {
			return part.Service
		}
		point -= uint64(part.Weight)
	}
	return r.Split[len(r.Split)-1].Service
}

// Service is a pool of backend servers.
type Service struct {
	ID model.ServiceID
	// Servers are the configured members. The platform's host list adds
	// members and says which are leaving.
	Servers []model.ServerID
	// Slots is how many requests a server works on at once.
	Slots int
	// Connections is how many connections a server takes over all hosts.
	Connections int
	// Floor is the share of the pool, 0 to 1, that stays in use whatever the
	// evidence says.
	Floor float64
	// Concurrency bounds a host's requests in flight to the service.
	Concurrency int
	// Queue bounds a host's requests that wait for the service.
	Queue int
	// SharedDetection says that hosts tell each other of single failures and
	// choose servers by trust, for services whose servers get too few requests
	// for the coordinator's counts. No server is ejected then.
	SharedDetection bool
	// RetryShare is the share of requests, 0 to 1, that may be sent to a second
	// server.
	RetryShare float64
	// RetryExtra is how many requests more all hosts together may send again in
	// any window; 0: each host has a few of its own.
	RetryExtra  int
	RetryWindow time.Duration
	// ColdRamp is how long a new server's share grows to its full size.
	ColdRamp time.Duration
}

// AccountOf returns the account that owns the key. The lookup by SHA-256 tells
// nothing by its duration, because a caller cannot choose the hash byte by byte;
// the hash that is found is compared in constant time.
func (s *Snapshot) AccountOf(key model.KeyHash) (*Account, bool) {
	account, ok := s.Accounts[s.Keys[key]]
	if !ok {
		return nil, false
	}
	isOwner := 0
	for i := range account.Keys {
		isOwner |= subtle.ConstantTimeCompare(account.Keys[i][:], key[:])
	}
	return account, isOwner == 1
}

// Match returns the route with the longest path that is a prefix of path, of
// those for the host name, else of those for any.
func (s *Snapshot) Match(host, path string) (*Route, bool) {
	return s.index.match(host, path)
}

// Slots returns every slot of the fleet, domains in order.
func (s *Snapshot) Slots() []model.SlotID {
	slots := make([]model.SlotID, 0, len(s.Domains)*s.SlotsPerDomain)
	for _, d := range s.Domains {
		for i := range s.SlotsPerDomain {
			slots = append(slots, model.SlotID{Domain: d, Index: i})
		}
	}
	return slots
}

// NewSnapshot indexes the parts of a snapshot. It is for Compile and tests.
func NewSnapshot(version uint64, domains []model.DomainID, slotsPerDomain int) *Snapshot {
	return &Snapshot{
		Version:        version,
		Domains:        domains,
		SlotsPerDomain: slotsPerDomain,
		Accounts:       make(map[model.AccountID]*Account),
		Keys:           make(map[model.KeyHash]model.AccountID),
		Services:       make(map[model.ServiceID]*Service),
		Routes:         make(map[model.RouteID]*Route),
	}
}

// AddAccount adds an account and its keys.
func (s *Snapshot) AddAccount(a *Account) {
	s.Accounts[a.ID] = a
	for _, k := range a.Keys {
		s.Keys[k] = a.ID
	}
}

// AddService adds a service.
func (s *Snapshot) AddService(v *Service) { s.Services[v.ID] = v }

// AddRoute adds a route.
func (s *Snapshot) AddRoute(r *Route) {
	s.Routes[r.ID] = r
	s.index.add(r)
}

// Allows reports whether the account may use the route.
func (a *Account) Allows(r *Route) bool {
	if len(a.Routes) == 0 {
		return true
	}
	for _, allowed := range a.Routes {
		if isWithin(string(r.ID), allowed) {
			return true
		}
	}
	return false
}

// AllowsMethod reports whether the route takes the method.
func (r *Route) AllowsMethod(method string) bool {
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// isWithin reports whether path is branch or lies below it.
func isWithin(path, branch string) bool {
	if len(path) < len(branch) || path[:len(branch)] != branch {
		return false
	}
	return len(path) == len(branch) || path[len(branch)] == '/'
}
