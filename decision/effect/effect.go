// Package effect holds everything that the reducer may ask for, as plain data.
// The control loop hands each effect to an adapter.
package effect

import (
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Effect is one of the types of this package.
type Effect interface{ effect() }

// Forward asks the traffic goroutine of a request for one attempt. It answers
// with event.AttemptEnded.
type Forward struct {
	Request model.RequestID
	Server  model.ServerID
	Account model.AccountID // empty on an open route
	// AccountName is what the server is told of the account.
	AccountName string
	Class       model.Class
	NotAfter    model.Instant // no byte is written to the server after this
	Deadline    model.Instant // the caller's; the attempt is cancelled then
	// RetainAnswer is the size in bytes up to which the answer is copied into
	// the AttemptResult; 0 retains nothing.
	RetainAnswer int
	// Cancellable says that the attempt ends when the caller leaves.
	Cancellable bool
}

// Deliver tells the traffic goroutine to pass on the answer of the attempt
// that just ended. It answers with event.AnswerSent.
type Deliver struct {
	Request  model.RequestID
	Deadline model.Instant
}

// Refuse tells the traffic goroutine to answer itself. It answers with
// event.AnswerSent.
type Refuse struct {
	Request    model.RequestID
	Reason     model.Reason
	Verdict    model.Verdict
	RetryAfter model.Instant // nanoseconds; 0: none
}

// Replay tells the traffic goroutine to send a retained answer. It answers
// with event.AnswerSent.
type Replay struct {
	Request model.RequestID
	Answer  model.Answer
}

// Send sends a message to another host. It may be lost, delayed or repeated.
type Send struct {
	To      model.HostID
	Message message.Message
}

// SetTimer replaces the time at which event.TimerFired is due.
type SetTimer struct{ At model.Instant }

// ReadSlot asks for event.SlotRead.
type ReadSlot struct{ Slot model.SlotID }

// SwapSlot writes a slot's record if its version is still Version (0: if
// there is none). It answers with event.SlotSwapped.
type SwapSlot struct {
	Slot    model.SlotID
	Version uint64
	Record  model.SlotRecord
}

// ReadRoot asks for event.RootRead.
type ReadRoot struct{}

// WatchRoot asks for event.RootRead once the root's store version is greater
// than After, or the watch ends.
type WatchRoot struct{ After uint64 }

// ReadShards asks for event.ShardsRead.
type ReadShards struct{ Hashes []string }

// DecodeShards asks for event.ShardsRead with the decoded form of these
// shards. It reaches no store.
type DecodeShards struct{ Shards []configuration.Shard }

// FollowList starts or stops the following of the host list in the store. Where
// it starts, event.ListFollowed tells what changed since the revisions.
type FollowList struct {
	IsOn bool
	// IsForOthers says that other hosts ask this one for changes, so that the
	// store has to answer often, also where nothing changes.
	IsForOthers     bool
	HostsRevision   uint64 // 0: none
	ServersRevision uint64
}

// SetHosts tells the addresses of the entry hosts to what sends messages.
type SetHosts struct{ Entries []model.HostEntry }

// Record hands a finished request to logs and metrics.
type Record struct{ Outcome model.Outcome }

// Notice tells operators of a change of state. Kind is a stable name.
type Notice struct {
	Kind   NoticeKind
	Detail string
}

// NoticeKind is the stable name of a notice, used in logs and metrics.
type NoticeKind string

// The notices. docs/OPERATIONS.md says what to do about each.
const (
	NoticeReady          NoticeKind = "ready"
	NoticeAuthority      NoticeKind = "authority_changed"
	NoticeSlotAcquired   NoticeKind = "slot_acquired"
	NoticeSlotLost       NoticeKind = "slot_lost"
	NoticeSlotHandedOver NoticeKind = "slot_handed_over"
	NoticeEjected        NoticeKind = "server_ejected"
	NoticeReadmitted     NoticeKind = "server_readmitted"
	NoticeAtFloor        NoticeKind = "service_at_floor"
	NoticeLeaving        NoticeKind = "server_leaving"
	NoticeVersion        NoticeKind = "configuration_in_force"
	NoticeList           NoticeKind = "host_list_source"
	NoticeBadMessage     NoticeKind = "bad_peer_message"
	// NoticeVersionRejected: a version in the store does not validate; the
	// one before stays in force.
	NoticeVersionRejected NoticeKind = "configuration_rejected"
)

// SetReady changes what /readyz answers.
type SetReady struct{ Ready bool }

// ReportStatus answers event.StatusRequested.
type ReportStatus struct {
	Query  uint64
	Status Status
}

// Status is the state that operators see.
type Status struct {
	Host      model.HostRef
	Domain    model.DomainID
	Authority string
	Version   uint64 // of the configuration in force
	Ready     bool
	Slots     []SlotStatus
	Servers   []ServerStatus // those not in normal use
	Refusals  []RefusalCount
	InFlight  int
}

// SlotStatus is a slot that the host owns.
type SlotStatus struct {
	Slot      model.SlotID
	Term      uint64
	ExpiresIn model.Instant // nanoseconds; negative past the deadline
}

// ServerStatus is a backend server that is ejected, avoided or leaving.
type ServerStatus struct {
	Service model.ServiceID
	Server  model.ServerID
	State   string
}

// RefusalCount counts refusals since the start of the process.
type RefusalCount struct {
	Account model.AccountID
	Reason  model.Reason
	Count   uint64
}

// CloseTraffic closes the callers' port: requests in flight are finished, no
// new ones are taken. It answers with event.TrafficClosed.
type CloseTraffic struct{}

// Exit ends the process: the planned stop is complete.
type Exit struct{}

func (Forward) effect()      {}
func (Deliver) effect()      {}
func (Refuse) effect()       {}
func (Replay) effect()       {}
func (Send) effect()         {}
func (SetTimer) effect()     {}
func (ReadSlot) effect()     {}
func (SwapSlot) effect()     {}
func (ReadRoot) effect()     {}
func (WatchRoot) effect()    {}
func (ReadShards) effect()   {}
func (DecodeShards) effect() {}
func (FollowList) effect()   {}
func (SetHosts) effect()     {}
func (Record) effect()       {}
func (Notice) effect()       {}
func (SetReady) effect()     {}
func (ReportStatus) effect() {}
func (CloseTraffic) effect() {}
func (Exit) effect()         {}
