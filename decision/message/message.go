// Package message defines the messages between entry hosts as plain data. Any
// message may be lost, delayed, duplicated or reordered. The host module encodes
// them.
package message

import (
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
)

// Message is one of the types of this package.
type Message interface{ message() }

// Heartbeat reports its sender's state and gossips what the sender knows of
// other hosts. Ages are as of the time of sending. A receiver does not add the
// network delay; a host that passes an age on adds the time that it kept it.
type Heartbeat struct {
	// Sequence increases with each heartbeat of the sender's incarnation. It is
	// 0 in a heartbeat that only announces a slot owner and requests no reply.
	Sequence uint64
	// Echo is the sequence number of the heartbeat that this one replies to, 0
	// in a request. Only replies count as evidence that the sender is alive,
	// because the age of a reply is at most the time since the echoed heartbeat
	// was sent.
	Echo uint64
	// Young reports that the sender started too recently to count as evidence:
	// its previous incarnation may have acknowledged a ClaimIntent that this one
	// does not know of.
	Young bool
	// StoreAge is the age of the newest reply of the store known to the sender;
	// negative if it knows of none.
	StoreAge time.Duration
	Version  uint64 // of the configuration in force; 0: none
	// Confirmed reports that the sender has proof that no version newer than
	// Version existed ConfigAge ago.
	Confirmed bool
	ConfigAge time.Duration
	Slots     []SlotOwned
	Intents   []IntentAge // all recent intents known to the sender
	Hosts     []HostAge   // at most MaxHostAges, most recent first
	Leaving   []model.ServerID
	Stopping  bool // the sender accepts no new work
	// LeavingStarts holds HostEntry.Since of each server in Leaving, as far as the
	// sender knows it; 0 if not. A server that started later is not meant. It is
	// empty in the heartbeats of hosts of an older release.
	LeavingStarts []model.WallTime
	// Evacuation is the newest set of evacuated failure domains known to the sender.
	Evacuation model.Evacuation
}

// MaxHostAges bounds Heartbeat.Hosts, so that the size of a heartbeat does not
// grow with the fleet.
const MaxHostAges = 64

// SlotOwned announces the owner of a slot, which is the sender or another host
// whose announcement the sender passes on.
type SlotOwned struct {
	Slot  model.SlotID
	Owner model.HostRef
	Term  uint64
	Age   time.Duration // since the owner announced it
}

// IntentAge is the time since the first host that acknowledged the newest
// known ClaimIntent for a slot received it.
type IntentAge struct {
	Slot model.SlotID
	Age  time.Duration
}

// HostAge is the age of the newest known heartbeat of a host.
type HostAge struct {
	Host  model.HostRef
	Age   time.Duration
	Young bool // Heartbeat.Young of that host
}

// TokenAsk requests tokens of a client account's token bucket from the owner of
// its slot, and settles earlier grants.
type TokenAsk struct {
	Ask     uint64 // ID of the request, unique within the sender's incarnation
	Slot    model.SlotID
	Account model.AccountID
	Tokens  int // requested; 0 if the message only settles grants
	Ahead   int // how many of Tokens are prefetched, with no request waiting
	Settled []Settlement
	// Arrived is how many requests of the account have arrived at the sender since
	// its last ask for tokens of the slot, at most those of the last 2 s.
	Arrived int
}

// Settlement closes a grant: Spent tokens were used, and the rest return to the
// bucket.
type Settlement struct {
	Grant uint64
	Spent int
	// Age is the time from the last use of a token of the grant to sending.
	Age time.Duration
}

// TokenGrant is the reply to TokenAsk. Tokens may be fewer than requested.
type TokenGrant struct {
	Ask     uint64
	Slot    model.SlotID
	Account model.AccountID
	Grant   uint64 // unique within the slot; 0 if Tokens is 0
	Tokens  int
	// NotOwner reports that the receiver of the TokenAsk does not own the slot.
	NotOwner bool
	// Left is how many whole tokens are left in the bucket.
	Left int
	// NextToken is the time from the reply until the next token accrues; if
	// Promised is not 0, until the receiver is to ask again.
	NextToken time.Duration
	// Promised is how many tokens are kept for the receiver from NextToken on,
	// NonePromised if it cannot get any soon, and 0 if the owner says neither.
	Promised int
	// Demand is the account's demand in percent of its whole rate, as far as the
	// owner knows; 0: unknown.
	Demand int
}

// NonePromised is the value of TokenGrant.Promised that tells a host not to
// let requests wait for tokens of the slot.
const NonePromised = -1

// Claim asks the owner of an idempotency key for the exclusive right to forward
// the request.
type Claim struct {
	Ask         uint64 // ID of the claim, unique within the sender's incarnation
	Slot        model.SlotID
	Account     model.AccountID
	Key         string
	Fingerprint model.Fingerprint
	// Timeout is how long the sender waits for an earlier request with the key
	// to end. It also bounds how long the sender's own request uses the key.
	Timeout time.Duration
}

// ClaimResult is the owner's decision on a claim. The zero value is
// ClaimUnknown, the only safe assumption.
type ClaimResult uint8

const (
	// ClaimUnknown: an earlier request with the key may have run.
	ClaimUnknown ClaimResult = iota
	// ClaimGranted: the sender may forward the request.
	ClaimGranted
	// ClaimInProgress: an earlier request with the key has not ended.
	ClaimInProgress
	// ClaimDone: an earlier request ran; its response is attached.
	ClaimDone
	// ClaimMismatch: the key was used for a different request.
	ClaimMismatch
	// ClaimFromFuture: the key's creation time is in the future or not readable.
	ClaimFromFuture
	// ClaimNotOwner: the receiver does not own the slot.
	ClaimNotOwner
	// ClaimDropped: an earlier request ran; its response is no longer retained.
	ClaimDropped
	// ClaimReleased: the earlier request ended without running; claim again.
	ClaimReleased
)

// ClaimAnswer is the reply to Claim. After ClaimInProgress, a second reply
// follows when the earlier request ends.
type ClaimAnswer struct {
	Ask    uint64
	Key    string
	Result ClaimResult
	Answer *model.Response // the retained response, with ClaimDone
}

// ClaimEnd tells the owner how the forwarded request ended. It is retransmitted
// until acknowledged.
type ClaimEnd struct {
	Ask     uint64 // of the Claim that was granted
	Slot    model.SlotID
	Account model.AccountID
	Key     string
	Verdict model.Verdict
	Answer  *model.Response // the response, with Ran, if it is small enough
}

// ClaimEndAck acknowledges ClaimEnd.
type ClaimEndAck struct {
	Ask uint64
}

// Evidence reports to a service's coordinator how attempts at the service's
// servers ended on the sender since its last report.
type Evidence struct {
	Sequence uint64 // increases with each report of the sender's incarnation
	Slot     model.SlotID
	Service  model.ServiceID
	Domain   model.DomainID // of the sender
	Servers  []ServerEvidence
	// PoolOK and PoolFailed count attempts at all servers of the service.
	PoolOK     int
	PoolFailed int
	Period     time.Duration // time span of the counts
}

// ServerEvidence counts attempts at one server.
type ServerEvidence struct {
	Server model.ServerID
	OK     int
	Failed int
	Slow   int // how many of OK were far slower than the pool's median
	// TimedOut is how many of Failed reached the caller's deadline.
	TimedOut int
	// AvoidFor is how much longer the sender prefers other servers; 0 if it does
	// not avoid this one.
	AvoidFor time.Duration
}

// ListAsk asks a host that watches the host list in the store for the changes
// after the sender's revisions.
type ListAsk struct {
	Sequence        uint64 // unique within the sender's incarnation
	HostsRevision   uint64
	ServersRevision uint64
}

// ListAnswer is the reply to ListAsk.
type ListAnswer struct {
	Sequence uint64 // of the ListAsk
	// IsFollowed reports that the sender watches the list in the store.
	// Otherwise no other field but Sequence is set.
	IsFollowed bool
	// Age is the time since the store's last reply about backend servers.
	Age     time.Duration
	Changes []model.ListChanges // one element for each role with changes
	// Version, Confirmed and ConfigAge are as in Heartbeat.
	Version   uint64
	Confirmed bool
	ConfigAge time.Duration
	// Resumed reports that the sender's watch of the list was interrupted and
	// resumed ResumedAge ago.
	Resumed    bool
	ResumedAge time.Duration
}

// Sign broadcasts the health evidence of one attempt, made by Origin, at a
// server.
type Sign struct {
	Origin   model.HostRef
	Sequence uint64 // unique within the origin's incarnation
	// IsRelayed asks the receiver to forward the message to the other hosts of
	// its failure domain.
	IsRelayed bool
	Service   model.ServiceID
	Server    model.ServerID
	Sign      model.HealthSignal
	// IsUnserved reports that the caller's request was lost with the attempt, and
	// that it was no probe of a suspected server.
	IsUnserved bool
}

// UnservedReport broadcasts how many requests for a service Origin has lately
// not served, apart from those of which a Sign told.
type UnservedReport struct {
	Origin   model.HostRef
	Sequence uint64 // as in Sign
	// IsRelayed asks the receiver to forward the message to the other hosts of
	// its failure domain.
	IsRelayed bool
	Service   model.ServiceID
	Requests  int
}

// EjectionSet is the complete set of ejected servers of a service: those that
// receive no regular traffic. It replaces any set with a lower term, or with
// the same term and a lower sequence.
type EjectionSet struct {
	Slot     model.SlotID
	Service  model.ServiceID
	Term     uint64
	Sequence uint64
	Ejected  []model.ServerID
	Trial    []model.ServerID // in trial: one request at a time from each host
}

// ConfigOffer announces the configuration in force at the sender.
type ConfigOffer struct {
	Root configuration.Root
	// Want asks the receiver to reply with its own offer.
	Want bool
	// Read asks the receiver to read the root from the store and to watch it for a
	// while, as the sender, who watches it for others, does not reach the store.
	Read bool
	// Fetching reports that the sender does not have the shards of Root yet. A host of
	// an older release ignores it, asks the sender for them and gets none.
	Fetching bool
	// Evacuation is as in Heartbeat.
	Evacuation model.Evacuation
	// WithShards, with Want, asks for the shards that differ from those of the
	// sender's version as well, in one answer. A host of an older release ignores it
	// and answers with the root alone.
	WithShards bool
	// Cached are the hashes of shards that the sender has beyond those of its version,
	// and does not need; at most MaxCachedHashes.
	Cached []string
}

// MaxCachedHashes bounds ConfigOffer.Cached.
const MaxCachedHashes = 64

// ShardAsk requests configuration shards by hash. The receiver always answers.
type ShardAsk struct{ Hashes []string }

// Shards carries configuration shards, as the answer to ShardAsk or to a ConfigOffer
// with WithShards. The receiver verifies the hash of each.
type Shards struct {
	Shards []configuration.Shard
	// Missing are the hashes of a ShardAsk that the sender does not have, because it
	// has another version in force by now.
	Missing []string
	// Root is the configuration in force at the sender, if Missing is not empty or the
	// answer is to a ConfigOffer. Version 0: none.
	Root configuration.Root
}

// ClaimIntent announces that the sender has reached the store and is about to
// claim ownership of the slot. It is unrelated to Claim, which concerns an
// idempotency key.
type ClaimIntent struct {
	Intent uint64 // ID of the intent, echoed by ClaimIntentAck
	Slot   model.SlotID
}

// ClaimIntentAck acknowledges ClaimIntent.
type ClaimIntentAck struct {
	Intent uint64
	Slot   model.SlotID
	// Term is the highest term of the slot known to the sender; 0: none.
	Term uint64
	// Owner is the owner known to the sender, zero if none, and Age the time since it
	// announced itself.
	Owner model.HostRef
	Age   time.Duration
	// Restores is the highest number of restores of the store known to the sender.
	Restores uint64
}

// RenewRelay asks a peer to renew the lease of a slot on behalf of the sender,
// with a compare-and-swap of the slot's record in the store.
type RenewRelay struct {
	Ask     uint64
	Slot    model.SlotID
	Version uint64 // expected version of the record
	Record  model.SlotRecord
}

// RenewResult is the reply to RenewRelay.
type RenewResult struct {
	Ask     uint64
	Slot    model.SlotID
	Record  model.SlotRecord
	Version uint64 // new version of the record, if OK
	OK      bool
	// Conflict reports that another host changed the record.
	Conflict bool
	// Restores is how often the store has come back from an older copy, as known to the
	// sender.
	Restores uint64
}

// EjectionState is the state of a service's coordinator in a handover.
type EjectionState struct {
	Set EjectionSet // only its servers; the next owner sets term and sequence
	// Published lists the servers of all sets that may still be in force at some
	// host.
	Published []ServerAge
	// Quiet is the time left in which sets unknown to the coordinator may be in
	// force.
	Quiet time.Duration
}

// ServerAge is the time since a server was last in a published set.
type ServerAge struct {
	Server model.ServerID
	Age    time.Duration
}

// HandoverOffer is the first message of the two-phase handover of a slot: it
// carries the slot's complete state to its successor. The sender freezes the
// slot before it sends the offer.
type HandoverOffer struct {
	Slot    model.SlotID
	Offer   uint64 // increases with each offer of the sender's incarnation
	Record  model.SlotRecord
	Version uint64 // of the record in the store
	// ZeroAge is the time since the token buckets that are not in Buckets were
	// empty; negative if they were full from the start.
	ZeroAge time.Duration
	// Ejections holds the services that the slot coordinates and that had
	// reports; EjectionsQuiet is EjectionState.Quiet of all other services.
	Ejections      []EjectionState
	EjectionsQuiet time.Duration
	Buckets        []BucketState
	Claims         []ClaimState
	// ClaimsSince is the wall-clock time from which Claims is complete, the start
	// of a term; 0 if no record was ever lost.
	ClaimsSince model.WallTime
}

// BucketState is one client account's token bucket.
type BucketState struct {
	Account     model.AccountID
	Level       float64
	Outstanding []GrantState
	// Keep is how long the bucket must not be forgotten. 0 from a host of an older
	// release.
	Keep time.Duration
}

// GrantState is an unsettled grant.
type GrantState struct {
	Grant   uint64
	Tokens  int
	Expires time.Duration // time left until it expires
}

// ClaimState is one idempotency record.
type ClaimState struct {
	Account     model.AccountID
	Key         string
	Fingerprint model.Fingerprint
	Verdict     model.Verdict
	InProgress  bool
	Holder      model.HostRef
	Ask         uint64        // of the holder's Claim
	Expires     time.Duration // time left until an unfinished request counts as MayHaveRun
	Answer      *model.Response
}

// HandoverAck confirms that the successor holds the offered state.
type HandoverAck struct {
	Slot  model.SlotID
	Offer uint64
}

// HandoverCommit tells the successor to take over. If Stored, Record and Version
// are in the store; otherwise the successor writes the record when the store is
// available again. It is retransmitted until acknowledged.
type HandoverCommit struct {
	Slot    model.SlotID
	Offer   uint64
	Record  model.SlotRecord
	Version uint64
	Stored  bool
	// Expires is the time left of the lease when the commit is sent; negative if
	// the sender's lease had expired in a store outage. The successor counts it
	// from when it sent HandoverAck, which is earlier.
	Expires time.Duration
}

// HandoverCommitAck acknowledges HandoverCommit.
type HandoverCommitAck struct {
	Slot  model.SlotID
	Offer uint64
}

func (Heartbeat) message()         {}
func (TokenAsk) message()          {}
func (TokenGrant) message()        {}
func (Claim) message()             {}
func (ClaimAnswer) message()       {}
func (ClaimEnd) message()          {}
func (ClaimEndAck) message()       {}
func (Evidence) message()          {}
func (EjectionSet) message()       {}
func (Sign) message()              {}
func (UnservedReport) message()    {}
func (ListAsk) message()           {}
func (ListAnswer) message()        {}
func (ConfigOffer) message()       {}
func (ShardAsk) message()          {}
func (Shards) message()            {}
func (ClaimIntent) message()       {}
func (ClaimIntentAck) message()    {}
func (RenewRelay) message()        {}
func (RenewResult) message()       {}
func (HandoverOffer) message()     {}
func (HandoverAck) message()       {}
func (HandoverCommit) message()    {}
func (HandoverCommitAck) message() {}
