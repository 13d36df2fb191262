package model

import (
	"strconv"
	"strings"
)

// HostID identifies an entry host. It comes from the host's settings file.
type HostID string

// HostRef identifies one incarnation of a host's process. A restarted process
// has a new incarnation number, because it keeps no state across the restart.
type HostRef struct {
	ID          HostID
	Incarnation uint64
}

// IsZero reports whether r refers to no host.
func (r HostRef) IsZero() bool { return r == HostRef{} }

// String returns "id#incarnation", with the incarnation in hexadecimal.
func (r HostRef) String() string {
	return string(r.ID) + "#" + strconv.FormatUint(r.Incarnation, 16)
}

// DomainID identifies a failure domain.
type DomainID string

// RegionID identifies a region, a group of failure domains.
type RegionID string

// AccountID identifies a client account by the path of its branch below
// "accounts" in the settings tree.
type AccountID string

// RouteID identifies a route by the path of its branch below "routes".
type RouteID string

// ServiceID identifies a service, a pool of backend servers, by the path of its
// branch below "services".
type ServiceID string

// ServerID identifies a backend server by its "ip:port" address. If the
// platform reports an identity that changes with each start of the server, the
// ID is "identity@ip:port".
type ServerID string

// ServerAt returns the ID of the server with the given identity and address.
func ServerAt(identity, address string) ServerID { return ServerID(identity + "@" + address) }

// Address returns the "ip:port" address.
func (s ServerID) Address() string {
	_, address, ok := strings.Cut(string(s), "@")
	if !ok {
		return string(s)
	}
	return address
}

// Identity returns the identity, or "" if none is known.
func (s ServerID) Identity() string {
	identity, _, ok := strings.Cut(string(s), "@")
	if !ok {
		return ""
	}
	return identity
}

// RequestID identifies a caller's request within one host process.
type RequestID uint64

// KeyHash is the SHA-256 hash of a client account's API key. The key itself
// never reaches the decision module.
type KeyHash [32]byte

// Fingerprint is a truncated SHA-256 hash of a request's method, path and body.
// It shows whether two requests with the same idempotency key are the same
// request.
type Fingerprint [16]byte
