package configuration

import (
	"crypto/subtle"
	"time"

	"pollensail.dev/decision/model"
)

// Snapshot is a settings tree compiled for serving. It is immutable once
// compiled.
type Snapshot struct {
	Version uint64
	// Domains are the fleet's failure domains, in order.
	Domains []model.DomainID
	// SlotsPerDomain is the number of slots in each failure domain.
	SlotsPerDomain int
	// Regions are the regions of the failure domains. That of a missing domain is
	// unknown.
	Regions map[model.DomainID]model.RegionID
	// ListAge is how old a host's copy of the platform's host list may be before
	// the host watches the list itself; 0: each host always watches it.
	ListAge time.Duration
	// KeyRevocationDelay is the longest time until a revoked key stops working
	// on every host, whether the host reaches the store or not; 0: valid keys
	// keep working while the store is down for all hosts.
	KeyRevocationDelay time.Duration
	// IsolatesInvalid reports that an object with an invalid setting does not make
	// the version invalid: it is Unusable, and all others are in force.
	IsolatesInvalid bool
	// HasProblems reports that the version is in force in spite of problems.
	HasProblems bool
	Accounts    map[model.AccountID]*Account
	Keys        map[model.KeyHash]model.AccountID
	Services    map[model.ServiceID]*Service
	Routes      map[model.RouteID]*Route
	index       routeIndex
	inner       map[Path]Settings // the branches that objects inherit from
	// restrictsRegions is true if a route or an account has AllowedRegions.
	restrictsRegions bool
}

// Account is a client account.
type Account struct {
	ID model.AccountID
	// Name is the account name that is sent to backend servers; empty: the ID.
	Name  string
	Rate  float64 // token bucket rate in requests per second over the whole fleet; 0: no limit
	Burst int     // token bucket size in requests
	// Weight is the account's weight in fair queuing. Default 1.
	Weight int
	// Routes are the routes or branches of routes that the account may use;
	// empty allows all.
	Routes []string
	Keys   []model.KeyHash
	// AllowedRegions are the regions whose servers may get the account's requests;
	// empty allows all.
	AllowedRegions []model.RegionID
	// Priority is the priority of the account's requests, 0 the highest. If
	// HasPriority is set it overrides the route's.
	Priority    int
	HasPriority bool
	// Unusable reports that a setting is invalid, so that no request may run for
	// the account.
	Unusable bool
}

// Route maps requests to a service.
type Route struct {
	ID model.RouteID
	// Hosts are the host names in the Host header that the route matches, in lower
	// case; empty matches every request that no route with a host name matches.
	Hosts   []string
	Path    string          // prefix of the request path that ends at a "/" or at the end of the path
	Methods []string        // empty allows all
	Service model.ServiceID // empty if Split is set
	// Split distributes the requests among services by weight.
	Split []WeightedService
	Class model.Class
	// Open routes need no API key, and their requests count against no account.
	Open bool
	// Idempotent requests may be retried after MayHaveRun. By default, requests of
	// the classes Mutation and Upload are not idempotent and those of other
	// classes are.
	Idempotent bool
	// NeedsIdempotencyKey reports that a request that is not idempotent must carry
	// an idempotency key. Without a key, at most one attempt of a request may run,
	// and the fleet does not recognize a repeated request.
	NeedsIdempotencyKey bool
	Timeout             time.Duration // the default of requests without a timeout, and the maximum
	// Target is the latency up to which a response is fully useful; 0: none.
	Target time.Duration
	// Attempts is the maximum number of servers that one request is sent to.
	Attempts int
	// Priority is the priority of the route's requests, 0 the highest.
	Priority int
	// AllowedRegions are the regions whose servers may get the route's requests;
	// empty allows all.
	AllowedRegions []model.RegionID
	// Unusable reports that a setting is invalid. The route refuses its requests,
	// which a route with a shorter path must not get instead.
	Unusable bool
}

// WeightedService is a service with its weight in the traffic split of a route.
type WeightedService struct {
	Service model.ServiceID
	Weight  int // in proportion to the other parts
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

// ServiceFor returns the service of a request by weighted random choice. point
// is a uniformly distributed random number.
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
	// Servers are the configured members. The platform's host list adds members
	// and reports which are leaving.
	Servers []model.ServerID
	// ServerConcurrency is how many requests a server processes concurrently.
	// It is unrelated to Snapshot.Slots.
	ServerConcurrency int
	// Connections is how many connections a server accepts from all hosts
	// together.
	Connections int
	// Floor is the share of the pool, 0 to 1, that stays in use even if the
	// evidence is against the servers.
	Floor float64
	// Concurrency is the maximum number of a host's requests in flight to the
	// service.
	Concurrency int
	// Queue is the maximum number of a host's requests that wait for the service.
	Queue int
	// SharedDetection selects failure detection by broadcast: hosts tell each
	// other of single failures and choose servers by their estimated probability
	// of being healthy. It is for services whose servers get too few requests for
	// the coordinator's counts. No server is ejected then.
	SharedDetection bool
	// EstimatesLoad selects servers by their expected load between reports, in place
	// of the last report, whose weight falls to nothing within seconds.
	EstimatesLoad bool
	// RetryShare is the retry budget as a share of requests, 0 to 1.
	RetryShare float64
	// RetryExtra is the number of additional retries that all hosts together may
	// make in any window of length RetryWindow; 0: each host has a few of its own.
	RetryExtra  int
	RetryWindow time.Duration
	// SlowStart is the slow-start time, in which a new server's share of
	// requests grows to its full size.
	SlowStart time.Duration
	// ColdRate, ColdOvershoot and ColdSlack bound the requests of all hosts to one
	// server in its slow start: in any second, ColdRate times ColdOvershoot and
	// ColdSlack more. ColdRate 0: no bound.
	ColdRate      float64
	ColdOvershoot float64
	ColdSlack     int
}

// AccountOf returns the account that owns the key. The duration of the map lookup
// reveals nothing of use, because a caller cannot choose a SHA-256 hash byte by
// byte. The hash that is found is compared in constant time.
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

// Match returns the route with the longest prefix of path among the routes for
// the host name, and if there is none, among the routes for any host name.
func (s *Snapshot) Match(host, path string) (*Route, bool) {
	return s.index.match(host, path)
}

// Slots returns every slot of the fleet, in the order of the failure domains.
func (s *Snapshot) Slots() []model.SlotID {
	slots := make([]model.SlotID, 0, len(s.Domains)*s.SlotsPerDomain)
	for _, d := range s.Domains {
		for i := range s.SlotsPerDomain {
			slots = append(slots, model.SlotID{Domain: d, Index: i})
		}
	}
	return slots
}

// NewSnapshot returns a snapshot without objects, for Compiler and tests.
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

// AddAccount adds an account and its keys. A key of several accounts belongs to
// the one with the lowest ID, in whichever order they are added.
func (s *Snapshot) AddAccount(a *Account) {
	s.Accounts[a.ID] = a
	s.noteRestriction(a.AllowedRegions)
	for _, k := range a.Keys {
		if other, ok := s.Keys[k]; !ok || a.ID < other {
			s.Keys[k] = a.ID
		}
	}
}

// AddService adds a service.
func (s *Snapshot) AddService(v *Service) { s.Services[v.ID] = v }

// AddRoute adds a route.
func (s *Snapshot) AddRoute(r *Route) {
	s.Routes[r.ID] = r
	s.noteRestriction(r.AllowedRegions)
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

// AllowsMethod reports whether the route allows the method.
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

// isWithin reports whether path is branch or below it.
func isWithin(path, branch string) bool {
	if len(path) < len(branch) || path[:len(branch)] != branch {
		return false
	}
	return len(path) == len(branch) || path[len(branch)] == '/'
}
