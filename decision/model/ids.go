package model

import (
	"strconv"
	"strings"
)

// HostID names an entry host. It comes from the host's settings.
type HostID string

// HostRef names one life of a host's process. A restarted process has a new
// incarnation, because it kept nothing from the one before.
type HostRef struct {
	ID          HostID
	Incarnation uint64
}

// IsZero reports whether r names no host.
func (r HostRef) IsZero() bool { return r == HostRef{} }

// String returns "id#incarnation".
func (r HostRef) String() string {
	return string(r.ID) + "#" + strconv.FormatUint(r.Incarnation, 16)
}

// DomainID names a failure domain.
type DomainID string

// AccountID names a client account: the path of its branch below "accounts".
type AccountID string

// RouteID names a route: the path of its branch below "routes".
type RouteID string

// ServiceID names a service, a pool of backend servers: the path of its branch
// below "services".
type ServiceID string

// ServerID names a backend server by its "ip:port" address. Where the platform
// tells an identity that changes with each start of the server, it stands
// before the address, followed by "@".
type ServerID string

// ServerAt returns the id of the server with an identity at an address.
func ServerAt(identity, address string) ServerID { return ServerID(identity + "@" + address) }

// Address returns the "ip:port" address.
func (s ServerID) Address() string {
	_, address, ok := strings.Cut(string(s), "@")
	if !ok {
		return string(s)
	}
	return address
}

// Identity returns the identity, empty where none is known.
func (s ServerID) Identity() string {
	identity, _, ok := strings.Cut(string(s), "@")
	if !ok {
		return ""
	}
	return identity
}

// RequestID names a caller's request within one host's process.
type RequestID uint64

// KeyHash is the SHA-256 of a client account's key. The key itself never
// reaches the decision module.
type KeyHash [32]byte

// Fingerprint is a truncated SHA-256 over method, path and body of a request.
// It tells whether two requests with one idempotency key are the same.
type Fingerprint [16]byte
