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
	Accounts       map[model.AccountID]*Account
	Keys           map[model.KeyHash]model.AccountID
	Services       map[model.ServiceID]*Service
	Routes         map[model.RouteID]*Route
	index          routeIndex
	inner          map[Path]Settings // the branches that objects inherit from
}

// Account is a client account.
type Account struct {
	ID    model.AccountID
	Rate  float64 // requests a second over the whole fleet
	Burst int     // requests
	// Weight is the share in fair queues. Default 1.
	Weight int
	// Routes are the routes or branches of routes that the account may use;
	// empty allows all.
	Routes []string
	Keys   []model.KeyHash
}

// Route maps requests to a service.
type Route struct {
	ID      model.RouteID
	Path    string   // prefix of the request path, ends at "/" or the end
	Methods []string // empty allows all
	Service model.ServiceID
	Class   model.Class
	// Open routes need no key and count against no account.
	Open bool
	// Idempotent requests may be sent again after MayHaveRun. Default: class
	// Mutation is not, the others are.
	Idempotent bool
	Timeout    time.Duration // when the caller gives none, and the longest allowed
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

// Match returns the route with the longest path that is a prefix of path.
func (s *Snapshot) Match(path string) (*Route, bool) {
	return s.index.match(path)
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
