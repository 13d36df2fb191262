// Package message holds the messages between hosts as plain data. Any of them
// may be lost, delayed, repeated or reordered. How they are encoded is the
// business of the host module.
package message

import (
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
)

// Message is one of the types of this package.
type Message interface{ message() }

// Heartbeat spreads what its sender knows. Ages are durations up to the time
// of sending; a receiver adds nothing for the way, and a relay adds the time
// that it kept them.
type Heartbeat struct {
	// Sequence grows with each heartbeat of the sender's incarnation; 0 in one
	// that only announces an owner and asks for no answer.
	Sequence uint64
	// Echo is the sequence of the heartbeat that this one answers; 0 in one
	// that asks for an answer. Only answers count as evidence, because their
	// age is at most the time since the echoed sequence was sent.
	Echo uint64
	// Young says that the sender started too recently to count as evidence:
	// its earlier life may have acknowledged a ClaimIntent that it forgot.
	Young bool
	// StoreAge is the age of the newest store answer known to the sender;
	// negative when it knows none.
	StoreAge time.Duration
	Version  uint64 // of the configuration in force; 0: none
	// Confirmed says that the sender has proof that no version newer than
	// Version existed ConfigAge ago.
	Confirmed bool
	ConfigAge time.Duration
	Slots     []SlotOwned
	Intents   []IntentHeard // every recent one known to the sender
	Hosts     []HostAge     // at most MaxHostAges, freshest first
	Leaving   []model.ServerID
	Stopping  bool // the sender accepts no new work
}

// MaxHostAges bounds Heartbeat.Hosts, so that a heartbeat does not grow with
// the fleet.
const MaxHostAges = 64

// SlotOwned announces an owner of a slot, the sender or one it heard of.
type SlotOwned struct {
	Slot  model.SlotID
	Owner model.HostRef
	Term  uint64
	Age   time.Duration // since the owner said so
}

// IntentHeard says how long ago the newest known ClaimIntent for a slot was
// received by the first host that acknowledged it.
type IntentHeard struct {
	Slot model.SlotID
	Age  time.Duration
}

// HostAge says how old the newest known heartbeat of a host is.
type HostAge struct {
	Host  model.HostRef
	Age   time.Duration
	Young bool // as in Heartbeat, of that host
}

// TokenAsk asks the owner of a slot for tokens of a client account and
// settles earlier grants.
type TokenAsk struct {
	Ask     uint64 // unique for the sender's incarnation
	Slot    model.SlotID
	Account model.AccountID
	Tokens  int // wanted; 0 only settles
	Ahead   int // of Tokens, those that no request waits for
	Settled []Settlement
}

// Settlement ends a grant: Spent tokens were used, the rest go back.
type Settlement struct {
	Grant uint64
	Spent int
	// Age is the time from the last use of a token of the grant to sending.
	Age time.Duration
}

// TokenGrant answers TokenAsk. Tokens may be fewer than asked for.
type TokenGrant struct {
	Ask     uint64
	Slot    model.SlotID
	Account model.AccountID
	Grant   uint64 // unique for the slot; 0 when Tokens is 0
	Tokens  int
	// NotOwner says that the receiver of the ask does not own the slot.
	NotOwner bool
	// Left is how many whole tokens the share has left.
	Left int
	// NextToken is when a token will have accrued, counted from the answer.
	NextToken time.Duration
}

// Claim asks the owner of an idempotency key for the right to forward.
type Claim struct {
	Ask         uint64 // unique for the sender's incarnation
	Slot        model.SlotID
	Account     model.AccountID
	Key         string
	Fingerprint model.Fingerprint
	// Timeout is how long the sender waits for an earlier use to end.
	// It bounds the sender's own use of the key, too.
	Timeout time.Duration
}

// ClaimResult is the owner's decision on a claim. The zero value is
// ClaimUnknown, the only safe assumption.
type ClaimResult uint8

// The results.
const (
	ClaimUnknown ClaimResult = iota
	ClaimGranted
	ClaimInProgress
	ClaimDone
	ClaimMismatch
	ClaimFromFuture
	ClaimNotOwner
	// ClaimDropped: ran, the answer is no longer retained.
	ClaimDropped
	// ClaimReleased: the earlier use ended unrun; claim again.
	ClaimReleased
)

// ClaimAnswer answers Claim. ClaimInProgress is followed by a second answer
// when the earlier use ends.
type ClaimAnswer struct {
	Ask    uint64
	Key    string
	Result ClaimResult
	Answer *model.Answer // with ClaimDone
}

// ClaimEnd tells the owner how the forwarded request ended. It is repeated
// until acknowledged.
type ClaimEnd struct {
	Ask     uint64 // of the Claim that was granted
	Slot    model.SlotID
	Account model.AccountID
	Key     string
	Verdict model.Verdict
	Answer  *model.Answer // with Ran, where it fits
}

// ClaimEndAck acknowledges ClaimEnd.
type ClaimEndAck struct {
	Ask uint64
}

// Evidence sums up what a host saw of a service's servers since its last
// report.
type Evidence struct {
	Sequence uint64 // grows with each report of the sender's incarnation
	Slot     model.SlotID
	Service  model.ServiceID
	Domain   model.DomainID // of the sender
	Servers  []ServerEvidence
	// PoolOK and PoolFailed count attempts at all servers of the service.
	PoolOK     int
	PoolFailed int
	Period     time.Duration // that the counts cover
}

// ServerEvidence counts attempts at one server.
type ServerEvidence struct {
	Server model.ServerID
	OK     int
	Failed int
	Slow   int // of OK, those far slower than the pool's median
	// TimedOut counts those of Failed that ran into the caller's deadline.
	TimedOut int
	// AvoidFor is how long the sender goes on to prefer other servers; 0 where it
	// does not.
	AvoidFor time.Duration
}

// ListAsk asks a host that follows the host list in the store for what changed
// after the revisions of the sender.
type ListAsk struct {
	Sequence        uint64 // unique for the sender's incarnation
	HostsRevision   uint64
	ServersRevision uint64
}

// ListAnswer answers ListAsk.
type ListAnswer struct {
	Sequence uint64
	// IsFollowed says that the sender follows the list. Otherwise nothing else
	// is set.
	IsFollowed bool
	// Age is the time since the store's last answer about servers.
	Age     time.Duration
	Changes []model.ListChanges // of the parts that changed
	// Version, Confirmed and ConfigAge are as in Heartbeat.
	Version   uint64
	Confirmed bool
	ConfigAge time.Duration
	// Resumed says that the sender could not follow the list until ResumedAge
	// ago.
	Resumed    bool
	ResumedAge time.Duration
}

// Sign says what one attempt of its origin says about a server. It is broadcast.
type Sign struct {
	Origin   model.HostRef
	Sequence uint64 // unique for the origin's incarnation
	// IsRelayed asks the receiver to pass it on in its failure domain.
	IsRelayed bool
	Service   model.ServiceID
	Server    model.ServerID
	Sign      model.Sign
}

// EjectionSet is the whole set of servers of a service that get no ordinary
// work. It replaces any set with a lower term, or equal term and lower
// sequence.
type EjectionSet struct {
	Slot     model.SlotID
	Service  model.ServiceID
	Term     uint64
	Sequence uint64
	Ejected  []model.ServerID
	Trial    []model.ServerID // one request at a time for each host
}

// ConfigOffer announces a configuration in force at the sender.
type ConfigOffer struct {
	Root configuration.Root
	// Want asks the receiver to answer with its own offer.
	Want bool
}

// ShardAsk asks for shards by hash.
type ShardAsk struct{ Hashes []string }

// Shards carries shards; the receiver checks each against its hash.
type Shards struct{ Shards []configuration.Shard }

// ClaimIntent says that the sender has reached the store and is about to
// claim the slot.
type ClaimIntent struct {
	Intent uint64
	Slot   model.SlotID
}

// ClaimIntentAck acknowledges ClaimIntent.
type ClaimIntentAck struct {
	Intent uint64
	Slot   model.SlotID
}

// RenewRelay asks a peer to swap a slot's record in the sender's name.
type RenewRelay struct {
	Ask     uint64
	Slot    model.SlotID
	Version uint64
	Record  model.SlotRecord
}

// RenewResult answers RenewRelay.
type RenewResult struct {
	Ask     uint64
	Slot    model.SlotID
	Record  model.SlotRecord
	Version uint64 // the record's new version, with OK
	OK      bool
	// Conflict says that the record was changed by another host.
	Conflict bool
}

// EjectionState is what the coordinator of a service hands over.
type EjectionState struct {
	Set EjectionSet // its servers; term and sequence are the next owner's
	// Published are the servers of all sets that may be in force at a host.
	Published []ServerAge
	// Quiet is what is left of the time in which unknown sets may be in force.
	Quiet time.Duration
}

// ServerAge says how long ago a server was last part of a published set.
type ServerAge struct {
	Server model.ServerID
	Age    time.Duration
}

// HandoverOffer carries the complete state of a slot to its successor. The
// sender has frozen the slot before it sends.
type HandoverOffer struct {
	Slot    model.SlotID
	Offer   uint64 // grows with each offer of the sender's incarnation
	Record  model.SlotRecord
	Version uint64 // of the record in the store
	// ZeroAge is the time since buckets that are not listed were empty;
	// negative when they were full from the start.
	ZeroAge time.Duration
	// Ejections are the services that the slot coordinates and that had
	// reports; EjectionsQuiet is EjectionState.Quiet for all others.
	Ejections      []EjectionState
	EjectionsQuiet time.Duration
	Buckets        []BucketState
	Claims         []ClaimState
	// ClaimsSince is the wall clock at the start of the term from which on
	// Claims are complete; 0 when nothing was ever lost.
	ClaimsSince model.WallTime
}

// BucketState is one client account's token bucket.
type BucketState struct {
	Account     model.AccountID
	Level       float64
	Outstanding []GrantState
}

// GrantState is a grant that is not settled.
type GrantState struct {
	Grant   uint64
	Tokens  int
	Expires time.Duration // left
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
	Expires     time.Duration // left until an unended use counts as unknown
	Answer      *model.Answer
}

// HandoverAck says that the successor holds the offered state.
type HandoverAck struct {
	Slot  model.SlotID
	Offer uint64
}

// HandoverCommit tells the successor to take over. Record and Version are the
// store's when Stored, else the successor writes the record when the store is
// back. It is repeated until acknowledged.
type HandoverCommit struct {
	Slot    model.SlotID
	Offer   uint64
	Record  model.SlotRecord
	Version uint64
	Stored  bool
	// Expires is what is left of the lease when the commit is sent; negative
	// where the sender was past its lease in a store outage. The successor
	// counts it from its acknowledgement, which is earlier.
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
