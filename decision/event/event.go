// Package event holds everything that can happen to a host, as plain data.
// Adapters make events; only decision.Reduce reads them.
package event

import (
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Event is one thing that happened, with the time at which the control loop
// took it up.
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
	Seed   uint64 // for the choices that need chance
}

// RequestArrived says that a caller's request was read and waits for an
// effect.
type RequestArrived struct {
	Request        model.RequestID
	Name           string // the request's id as callers and servers see it
	Host           string // from the Host field, in lower case and without a port
	HasKey         bool
	Key            model.KeyHash // valid when HasKey
	Method         string
	Path           string
	IdempotencyKey string // empty when absent
	Fingerprint    model.Fingerprint
	Timeout        time.Duration // 0: the route's
}

// AttemptEnded says that an attempt at a backend server ended.
type AttemptEnded struct {
	Request model.RequestID
	Server  model.ServerID
	Result  model.AttemptResult
}

// CallerLeft says that the caller closed its connection before it had an
// answer. AnswerSent still follows.
type CallerLeft struct{ Request model.RequestID }

// AnswerSent says that the answer was handed to the caller's connection.
type AnswerSent struct {
	Request  model.RequestID
	Complete bool // the connection accepted the last byte
	// ServerFailed says that a streamed answer broke off at the server.
	ServerFailed bool
}

// TimerFired says that the time of the last SetTimer effect was reached.
type TimerFired struct{}

// PeerReceived carries a message of another host.
type PeerReceived struct {
	From    model.HostRef
	Message message.Message
}

// HostsListed carries the platform's host list where it has no revisions.
type HostsListed struct{ Entries []model.HostEntry }

// ListFollowed carries what the store told of a part of the host list. It comes
// after each answer, also where nothing changed.
type ListFollowed struct {
	Changes model.ListChanges
	// Resumed says that the list could not be followed before. Entries that
	// lapsed meanwhile may come back soon.
	Resumed bool
}

// StoreError tells the failures of a store call apart. The zero value is
// success.
type StoreError uint8

// The store errors.
const (
	StoreOK StoreError = iota
	// StoreConflict: the compare failed; nothing was written.
	StoreConflict
	// StoreUnavailable: no answer; a write may have taken effect.
	StoreUnavailable
)

// SlotRead answers effect.ReadSlot. Version is 0 where there is no record.
type SlotRead struct {
	Slot    model.SlotID
	Record  model.SlotRecord
	Version uint64
	Error   StoreError
	SentAt  model.Instant // when the call left
}

// SlotSwapped answers effect.SwapSlot. After StoreUnavailable the swap may
// have taken effect.
type SlotSwapped struct {
	Slot    model.SlotID
	Record  model.SlotRecord // as it was to be written
	Version uint64           // the new version
	Error   StoreError
	SentAt  model.Instant // when the call left
}

// RootRead answers effect.ReadRoot and effect.WatchRoot.
type RootRead struct {
	Root         configuration.Root
	StoreVersion uint64
	Error        StoreError
	SentAt       model.Instant // when the call left
}

// ShardsRead answers effect.ReadShards and effect.DecodeShards. Shards that
// could not be read are missing.
type ShardsRead struct {
	Shards []configuration.Shard
	// Broken are the hashes of those that the store does not have, or whose
	// content is not in the expected form.
	Broken []string
	Error  StoreError
}

// StopRequested is the signal for a planned stop.
type StopRequested struct {
	// BalancerDelay is how long the platform's balancer may keep sending
	// requests after /readyz fails. 0: decision.DefaultBalancerDelay.
	BalancerDelay time.Duration
}

// TrafficClosed answers effect.CloseTraffic: every caller has its answer.
type TrafficClosed struct{}

// StatusRequested asks for effect.ReportStatus.
type StatusRequested struct{ Query uint64 }

func (Started) event()         {}
func (RequestArrived) event()  {}
func (AttemptEnded) event()    {}
func (CallerLeft) event()      {}
func (AnswerSent) event()      {}
func (TimerFired) event()      {}
func (PeerReceived) event()    {}
func (HostsListed) event()     {}
func (ListFollowed) event()    {}
func (SlotRead) event()        {}
func (SlotSwapped) event()     {}
func (RootRead) event()        {}
func (ShardsRead) event()      {}
func (StopRequested) event()   {}
func (TrafficClosed) event()   {}
func (StatusRequested) event() {}
