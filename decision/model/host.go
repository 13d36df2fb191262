package model

import "time"

// Role tells the kinds of entries in the platform's host list apart.
type Role string

// The roles.
const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// HostEntry is one line of the platform's host list. The list lags.
type HostEntry struct {
	ID       string // host id, or the "ip:port" of a backend server
	Role     Role
	Domain   DomainID
	Service  ServiceID // of a backend server
	Peer     string    // "ip:port" of an entry host's peer port
	Operator string    // "ip:port" of an entry host's operator port
	Leaving  bool
	Since    WallTime // when the platform first listed it; 0 when unknown
	// Slots is how many requests a backend server works on at once; 0: what
	// the service says.
	Slots int
	// ColdFor is how much longer a backend server is slow after its start.
	ColdFor time.Duration
}

// SlotID names a unit of exclusive ownership.
type SlotID struct {
	Domain DomainID
	Index  int
}

// SlotRecord is the store's record of a slot's owner. Term grows by one with
// each change of owner; Renewal grows with each renewal, so that a claimant
// can tell a live owner from a lost one without comparing clocks.
type SlotRecord struct {
	Owner   HostRef
	Term    uint64
	Renewal uint64
	// Continuous is true where the owner got the complete state of the term
	// before it, or where there was none.
	Continuous bool
}

// ListItem is an entry of the platform's host list with its last change.
type ListItem struct {
	Name      string // unique among the entries of a role
	Revision  uint64 // of its last change
	IsRemoved bool
	Entry     HostEntry // zero where it was removed
}

// ListChanges is what is new in the entries of a role.
type ListChanges struct {
	Role Role
	// IsWhole says that Items are all entries. Otherwise they are those that
	// changed since the revision that the receiver has.
	IsWhole  bool
	Items    []ListItem
	Revision uint64 // up to which the changes are complete
}
