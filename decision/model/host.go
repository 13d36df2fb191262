package model

import "time"

// Role is the kind of an entry in the platform's host list.
type Role string

const (
	RoleEntry   Role = "entry"
	RoleBackend Role = "backend"
)

// HostEntry is one entry of the platform's host list, an entry host or a
// backend server. The list is eventually consistent: it may be out of date.
type HostEntry struct {
	ID       string // HostID of an entry host, ServerID of a backend server
	Role     Role
	Domain   DomainID
	Service  ServiceID // of a backend server
	Peer     string    // "ip:port" of an entry host's peer port
	Operator string    // "ip:port" of an entry host's operator port
	Leaving  bool
	// Since is when the entry's process started or was first listed, as the
	// platform reports it; 0 when unknown. A later value shows a restart.
	Since WallTime
	// Slots is how many requests a backend server processes concurrently; 0
	// means the value configured for the service.
	Slots int
	// ColdFor is how much longer a backend server warms up after its start. It
	// is slow until then.
	ColdFor time.Duration
}

// SlotID identifies a slot: a partition of the fleet's shared state that one
// host owns exclusively under a lease.
type SlotID struct {
	Domain DomainID
	Index  int
}

// SlotRecord is the store's record of a slot's owner. Term increases by one
// with each change of owner. Renewal increases with each renewal of the lease,
// so that a claimant can tell a live owner from a lost one without comparing
// clocks.
type SlotRecord struct {
	Owner   HostRef
	Term    uint64
	Renewal uint64
	// Continuous is true if the owner received the complete state of the
	// previous term, or if there was no previous term.
	Continuous bool
	// Restores is how often the store had come back from an older copy when the record
	// was written, as far as its writer knew. If it has come back since, changes that
	// followed the record may be lost.
	Restores uint64
}

// ListItem is an entry of the platform's host list with the revision of its
// last change.
type ListItem struct {
	Name      string // unique among the entries of a role
	Revision  uint64 // of the last change
	IsRemoved bool
	Entry     HostEntry // zero if IsRemoved
}

// ListChanges holds the changes to the host list entries of one role.
type ListChanges struct {
	Role Role
	// IsWhole reports that Items holds all entries. Otherwise it holds those
	// that changed since the receiver's revision.
	IsWhole  bool
	Items    []ListItem
	Revision uint64 // the changes are complete up to this revision
}
