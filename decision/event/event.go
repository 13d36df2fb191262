// Package event defines the events of a host as plain data. Adapters create
// them; only decision.Reduce reads them.
package event

import (
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Event is a Body with the time at which the control loop started to process
// it.
type Event struct {
	At   model.Instant
	Wall model.WallTime
	Body Body
}

// Body is one of the types of this package.
type Body interface{ event() }

// Started is the first event of a process.
type Started struct {
	Self   model.HostRef
	Domain model.DomainID
	Seed   uint64 // of the reducer's random number generator
	// MemoryBytes is the memory that the process may use; 0: not bounded.
	MemoryBytes int
}

// RequestArrived reports that a caller's request was read and waits for an
// effect.
type RequestArrived struct {
	Request        model.RequestID
	Name           string        // the request ID that callers and servers see
	Host           string        // of the Host header, in lower case and without the port
	HasKey         bool          // the request has an API key
	Key            model.KeyHash // valid if HasKey
	Method         string
	Path           string
	IdempotencyKey string // empty if absent
	Fingerprint    model.Fingerprint
	Timeout        time.Duration // 0: that of the route
}

// MemoryNeeded reports that the body of a request being received has filled the
// memory granted for it. The result is effect.GrantMemory or effect.Refuse.
type MemoryNeeded struct {
	Request   model.RequestID
	Bytes     int // in addition to what was granted
	Announced int // size of the whole body; negative if unknown
	// ResponseBytes is what responses that are read whole hold now.
	ResponseBytes int
}

// MemoryReleased reports that the body of a request is no longer needed. It follows
// for each request that needed memory, however the request ends.
type MemoryReleased struct {
	Request model.RequestID
	// ResponseBytes is as in MemoryNeeded.
	ResponseBytes int
}

// AttemptEnded reports the result of an attempt at a backend server.
type AttemptEnded struct {
	Request model.RequestID
	Attempt int // the number of the attempt, from effect.Forward
	Server  model.ServerID
	Result  model.AttemptResult
}

// CallerLeft reports that the caller closed its connection before it had a
// response. ResponseSent still follows.
type CallerLeft struct{ Request model.RequestID }

// ResponseSent reports that the response was written to the caller's
// connection, completely or in part.
type ResponseSent struct {
	Request  model.RequestID
	Complete bool // the connection accepted the last byte
	// Status is the status of the response in the front end's protocol; 0 if no byte
	// of it was written.
	Status int
	// ServerFailed reports that the server broke off a streamed response.
	ServerFailed bool
}

// TimerFired reports that the time of the last effect.SetTimer has come.
type TimerFired struct{}

// MessageReceived carries a message from another host.
type MessageReceived struct {
	From    model.HostRef
	Message message.Message
}

// HostListRead carries the platform's complete host list, on platforms whose
// list has no revisions.
type HostListRead struct{ Entries []model.HostEntry }

// HostListSynced carries one reply of the store to the watch of one role's host
// list entries. It is posted for each reply, even if nothing changed.
type HostListSynced struct {
	Changes model.ListChanges
	// Resumed reports that the watch had been interrupted. Entries whose leases
	// expired meanwhile may reappear soon.
	Resumed bool
}

// StoreError is the kind of failure of a store call. The zero value is
// success.
type StoreError uint8

const (
	StoreOK StoreError = iota
	// StoreConflict: the compare-and-swap found another version; nothing was
	// written.
	StoreConflict
	// StoreUnavailable: no usable reply arrived; a write may have taken effect.
	StoreUnavailable
	// StoreReplaced: the store answered, but a newer version of the configuration has
	// replaced the shards that were read.
	StoreReplaced
)

// SlotRead is the result of effect.ReadSlot. Version is 0 if there is no record.
type SlotRead struct {
	Slot    model.SlotID
	Record  model.SlotRecord
	Version uint64
	Error   StoreError
	SentAt  model.Instant // when the call was sent
	// Restores is how often the store has come back from an older copy, as known after
	// the call; 0: never, or not known.
	Restores uint64
}

// SlotSwapped is the result of effect.SwapSlot. After StoreUnavailable the
// compare-and-swap may have taken effect.
type SlotSwapped struct {
	Slot    model.SlotID
	Record  model.SlotRecord // the record of the effect
	Version uint64           // the new version
	Error   StoreError
	SentAt  model.Instant // when the call was sent
	// Restores is as in SlotRead.
	Restores uint64
}

// RootRead is the result of effect.ReadRoot or effect.WatchRoot.
type RootRead struct {
	Root         configuration.Root
	StoreVersion uint64
	Error        StoreError
	// Problem says what is wrong with a record that was read but is not valid;
	// empty otherwise. Error is set too.
	Problem string
	SentAt  model.Instant // when the call was sent
	// Evacuation is the set of evacuated failure domains. It is the zero value if it
	// was not read, and may be set together with Problem.
	Evacuation model.Evacuation
	// Restores is as in SlotRead.
	Restores uint64
}

// ShardsRead is the result of effect.ReadShards or effect.DecodeShards. It
// omits shards that could not be read or decoded.
type ShardsRead struct {
	Shards []configuration.Shard
	// Broken holds the hashes of the shards that are not in the store or whose
	// content is invalid.
	Broken []string
	Error  StoreError
}

// StopRequested requests a planned stop of the process.
type StopRequested struct {
	// BalancerDelay is how long the platform's load balancer may keep sending
	// requests after /readyz fails. 0 means decision.DefaultBalancerDelay.
	BalancerDelay time.Duration
	// Grace is how long after the request the platform kills the process; 0: never.
	Grace time.Duration
}

// TrafficClosed is the result of effect.CloseTraffic: every caller has its
// response.
type TrafficClosed struct{}

// StatusRequested requests effect.ReportStatus with the same Query.
type StatusRequested struct{ Query uint64 }

func (Started) event()         {}
func (RequestArrived) event()  {}
func (MemoryNeeded) event()    {}
func (MemoryReleased) event()  {}
func (AttemptEnded) event()    {}
func (CallerLeft) event()      {}
func (ResponseSent) event()    {}
func (TimerFired) event()      {}
func (MessageReceived) event() {}
func (HostListRead) event()    {}
func (HostListSynced) event()  {}
func (SlotRead) event()        {}
func (SlotSwapped) event()     {}
func (RootRead) event()        {}
func (ShardsRead) event()      {}
func (StopRequested) event()   {}
func (TrafficClosed) event()   {}
func (StatusRequested) event() {}
