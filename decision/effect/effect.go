// Package effect defines the effects that the reducer returns, as plain data.
// The control loop passes each effect to an adapter, which carries it out.
package effect

import (
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Effect is one of the types of this package.
type Effect interface{ effect() }

// Forward makes the traffic goroutine of a request send it to one backend
// server. The result is event.AttemptEnded.
type Forward struct {
	Request model.RequestID
	Server  model.ServerID
	Account model.AccountID // empty on an open route
	// AccountName is the account name that is sent to the server.
	AccountName string
	Class       model.Class
	NotAfter    model.Instant // latest time to write any byte to the server
	// NotAfterOnceWritten applies in place of NotAfter once another attempt of the
	// request has written to its server: the request has used its token then.
	NotAfterOnceWritten model.Instant
	Deadline            model.Instant // of the caller; the attempt is cancelled then
	// MaxRetainedBytes is the size in bytes up to which the response is copied
	// into the AttemptResult; 0 retains nothing.
	MaxRetainedBytes int
	// Cancellable says to cancel the attempt if the caller disconnects, or by
	// CancelAttempt. Further attempts may be started while it runs.
	Cancellable bool
	// Attempt is the number of the request's attempt, from 1.
	Attempt int
}

// CancelAttempt cancels a running attempt, because the request ends with the
// answer of another one or because its caller has left. The event.AttemptEnded that
// follows changes nothing.
type CancelAttempt struct {
	Request model.RequestID
	Attempt int
}

// Deliver makes the traffic goroutine send the caller the response of an attempt
// that has ended. The result is event.ResponseSent.
type Deliver struct {
	Request  model.RequestID
	Attempt  int // whose response to send
	Deadline model.Instant
}

// Refuse makes the traffic goroutine respond with an error of the fleet's own.
// The result is event.ResponseSent.
type Refuse struct {
	Request    model.RequestID
	Reason     model.Reason
	Verdict    model.Verdict
	RetryAfter model.Instant // a duration in nanoseconds; 0: none
	// ForMemory says that there is no memory for the body of the request. The body may
	// be still arriving; a pending read of it ends.
	ForMemory bool
}

// Replay makes the traffic goroutine send a retained response. The result is
// event.ResponseSent.
type Replay struct {
	Request model.RequestID
	Answer  model.Response
}

// GrantMemory lets the traffic goroutine of a request read that much more of its
// body.
type GrantMemory struct {
	Request model.RequestID
	Bytes   int
}

// SetResponseMemory sets what responses that are read whole may hold together, in
// bytes. Others are streamed.
type SetResponseMemory struct {
	Bytes     int
	BodyBytes int // what bodies of requests hold, for metrics
}

// CloseIdle closes the idle connections to a backend server.
type CloseIdle struct{ Server model.ServerID }

// Send sends a message to another host. It may be lost, delayed or duplicated.
type Send struct {
	To      model.HostID
	Message message.Message
}

// SetTimer sets the time of the next event.TimerFired and replaces the one set
// before.
type SetTimer struct{ At model.Instant }

// ReadSlot reads a slot's record. The result is event.SlotRead.
type ReadSlot struct{ Slot model.SlotID }

// SwapSlot is a compare-and-swap: it writes a slot's record if the current
// version is Version, with 0 for no record. The result is event.SlotSwapped.
type SwapSlot struct {
	Slot    model.SlotID
	Version uint64
	Record  model.SlotRecord
}

// ReadRoot reads the root record. The result is event.RootRead.
type ReadRoot struct{}

// WatchRoot waits until the root's store version is greater than After, or the
// watch ends. The result is event.RootRead.
type WatchRoot struct{ After uint64 }

// ReadShards reads configuration shards from the store. The result is
// event.ShardsRead.
type ReadShards struct{ Hashes []string }

// DecodeShards decodes configuration shards without access to the store. The
// result is event.ShardsRead.
type DecodeShards struct{ Shards []configuration.Shard }

// WatchHostList starts or stops watching the host list in the store. While it
// is watched, event.HostListSynced reports the changes since the given
// revisions.
type WatchHostList struct {
	IsOn bool
	// IsForOthers says that other hosts request changes from this one, so that
	// the store has to reply often, even if nothing changes.
	IsForOthers     bool
	HostsRevision   uint64 // 0: none
	ServersRevision uint64 // 0: none
}

// SetHosts sets the addresses of the entry hosts for sending messages.
type SetHosts struct{ Entries []model.HostEntry }

// RecordOutcome passes the outcome of a finished request to logs and metrics.
type RecordOutcome struct{ Outcome model.Outcome }

// RecordStop passes the counts of a planned stop to logs, after its last request.
type RecordStop struct{ Summary model.StopSummary }

// Notice reports a change of state to operators. Kind is a stable name.
type Notice struct {
	Kind   NoticeKind
	Detail string
}

// NoticeKind is the stable name of a notice, used in logs and metrics.
type NoticeKind string

// docs/OPERATIONS.md describes how to respond to each notice.
const (
	NoticeReady          NoticeKind = "ready"
	NoticeAuthority      NoticeKind = "authority_changed"
	NoticeSlotAcquired   NoticeKind = "slot_acquired"
	NoticeSlotLost       NoticeKind = "slot_lost"
	NoticeSlotHandedOver NoticeKind = "slot_handed_over"
	NoticeSlotLapsed     NoticeKind = "slot_lapsed"
	NoticeSlotRenewed    NoticeKind = "slot_renewed"
	NoticeSlotRecordLost NoticeKind = "slot_record_lost"
	NoticeHostUnlisted   NoticeKind = "host_unlisted"
	NoticeHostLost       NoticeKind = "unlisted_host_lost"
	NoticeEjected        NoticeKind = "server_ejected"
	NoticeReadmitted     NoticeKind = "server_readmitted"
	NoticeAtFloor        NoticeKind = "service_at_floor"
	NoticeLeaving        NoticeKind = "server_leaving"
	NoticeShort          NoticeKind = "service_short"
	NoticeNotShort       NoticeKind = "service_not_short"
	NoticeAllCold        NoticeKind = "service_cold"
	NoticeNotCold        NoticeKind = "service_not_cold"
	NoticeVersion        NoticeKind = "configuration_in_force"
	// NoticeVersionDelayed says that a request for the content of a version was not
	// answered in time.
	NoticeVersionDelayed NoticeKind = "configuration_delayed"
	NoticeList           NoticeKind = "host_list_source"
	NoticeBadMessage     NoticeKind = "bad_peer_message"
	// NoticeVersionRejected: a version in the store is invalid; the previous
	// one stays in force.
	NoticeVersionRejected NoticeKind = "configuration_rejected"
	// NoticeUnusableObjects: a version is in force without the client accounts,
	// routes and services whose settings are invalid.
	NoticeUnusableObjects NoticeKind = "configuration_objects_unusable"
	// NoticePaused: a server has refused a request and asked to get no more for a
	// time.
	NoticePaused NoticeKind = "server_paused"
	// NoticeBadLoad: a server sent a load report that breaks a rule.
	NoticeBadLoad NoticeKind = "bad_load_report"
	// NoticeBadHeader: a server sent a header field that cannot be read.
	NoticeBadHeader NoticeKind = "bad_server_header"
	// NoticeEvacuated and NoticeEvacuationEnded: a failure domain was taken out of
	// use, and returned to use.
	NoticeEvacuated       NoticeKind = "domain_evacuated"
	NoticeEvacuationEnded NoticeKind = "domain_evacuation_ended"
	// NoticeUnknownEvacuation: the set of evacuated domains names one that no
	// configuration, host or server has.
	NoticeUnknownEvacuation NoticeKind = "unknown_domain_evacuated"
	// NoticeMemoryFull: requests with bodies are refused, because what is held for
	// callers and servers has reached its bound. NoticeMemoryAvailable: bodies hold
	// no more than half of it again.
	NoticeMemoryFull      NoticeKind = "memory_full"
	NoticeMemoryAvailable NoticeKind = "memory_available"
)

// SetReady sets the readiness that /readyz reports.
type SetReady struct{ Ready bool }

// ReportStatus is the reply to event.StatusRequested.
type ReportStatus struct {
	Query  uint64
	Status Status
}

// Status is the state of the host for operators.
type Status struct {
	Host      model.HostRef
	Domain    model.DomainID
	Region    model.RegionID // of the host; empty: unknown
	Authority string
	Version   uint64 // of the configuration in force
	Ready     bool
	Slots     []SlotStatus
	Servers   []ServerStatus // servers not in normal use: ejected, in trial, avoided, leaving, cold or in an unknown region
	Refusals  []RefusalCount
	InFlight  int
	Balance   []ServiceBalance // of services whose load is estimated
	// ConfigLag is how long the host has known of a newer version than the one in
	// force, and MaxConfigLag the longest such time since the start of the process.
	ConfigLag    time.Duration
	MaxConfigLag time.Duration
	// ConfigProblem says why the newest configuration in the store cannot be read,
	// or which of its objects are unusable; empty if all of it is in force.
	ConfigProblem string
	Evacuation    EvacuationStatus
}

// SlotStatus is the lease of a slot that the host owns.
type SlotStatus struct {
	Slot      model.SlotID
	Term      uint64
	ExpiresIn model.Instant // a duration in nanoseconds; negative after expiry
}

// ServerStatus is a backend server that is not in normal use. State says why, and is
// one of few texts; Detail may say more.
type ServerStatus struct {
	Service model.ServiceID
	Server  model.ServerID
	State   string
	Detail  string
}

// ServiceBalance is the load of a service's servers as this host estimates it.
type ServiceBalance struct {
	Service           model.ServiceID
	MeanLoad, MaxLoad float64 // expected requests per slot
	Busiest           model.ServerID
	MaxSlowness       float64 // response time in relation to the mean of the servers
	Slowest           model.ServerID
	ReportAge         time.Duration // median
	Choices           int           // of a server, since the start of the process
	OutsideChoices    int           // of a server of another failure domain
	InvalidReports    int
}

// RefusalCount counts refused requests since the start of the process.
type RefusalCount struct {
	Account model.AccountID
	Reason  model.Reason
	Count   uint64
}

// CloseTraffic closes the callers' port: requests in flight are finished, and
// new ones are not accepted. The result is event.TrafficClosed.
type CloseTraffic struct{}

// Exit ends the process, when the planned stop is complete.
type Exit struct{}

func (Forward) effect()           {}
func (CancelAttempt) effect()     {}
func (Deliver) effect()           {}
func (Refuse) effect()            {}
func (Replay) effect()            {}
func (GrantMemory) effect()       {}
func (SetResponseMemory) effect() {}
func (CloseIdle) effect()         {}
func (Send) effect()              {}
func (SetTimer) effect()          {}
func (ReadSlot) effect()          {}
func (SwapSlot) effect()          {}
func (ReadRoot) effect()          {}
func (WatchRoot) effect()         {}
func (ReadShards) effect()        {}
func (DecodeShards) effect()      {}
func (WatchHostList) effect()     {}
func (SetHosts) effect()          {}
func (RecordOutcome) effect()     {}
func (RecordStop) effect()        {}
func (Notice) effect()            {}
func (SetReady) effect()          {}
func (ReportStatus) effect()      {}
func (CloseTraffic) effect()      {}
func (Exit) effect()              {}
