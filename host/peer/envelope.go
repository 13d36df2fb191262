package peer

import (
	"errors"
	"reflect"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Hello begins a link and each epoch of it.
type Hello struct {
	From  model.HostRef
	Epoch uint64
}

// Envelope is the one form in which messages travel. The message follows it in
// the same frame as a value of its own, so that a link describes, and the
// receiver prepares for, only the types that it carries: a field for each type
// would cost every link 5 KB and some 40 KB of memory.
type Envelope struct {
	// Epoch is the Hello that Sent counts from.
	Epoch uint64
	// Sent is the time of sending in milliseconds since the sender got the
	// answer to the Hello; negative when it was queued before.
	Sent int64
	// Kind is the message's type, an index of kinds.
	Kind int

	body any // pointer to the wire form, of the type that Kind says
}

// errEnvelope is the reason of every refused envelope.
var errEnvelope = errors.New("broken envelope")

// kind is how one type of message travels. The wire form is a pointer.
type kind struct {
	of     reflect.Type // the message
	fresh  func() any   // the wire form to decode into
	encode func(*sendHosts, message.Message) any
	decode func(*knownHosts, any) (message.Message, error)
}

// kinds lists the types by their number on the wire. Types are only added, at
// the end: hosts of two releases talk to each other during a rollout.
var kinds = []kind{
	{reflect.TypeFor[message.Heartbeat](), func() any { return new(Heartbeat) }, encodeHeartbeat, decodeHeartbeat},
	plain[message.TokenAsk](),
	plain[message.TokenGrant](),
	plain[message.Claim](),
	plain[message.ClaimAnswer](),
	plain[message.ClaimEnd](),
	plain[message.ClaimEndAck](),
	plain[message.Evidence](),
	plain[message.EjectionSet](),
	plain[message.ConfigOffer](),
	plain[message.ShardAsk](),
	{reflect.TypeFor[message.Shards](), func() any { return new(Shards) }, encodeShards, decodeShards},
	plain[message.ClaimIntent](),
	plain[message.ClaimIntentAck](),
	plain[message.RenewRelay](),
	plain[message.RenewResult](),
	plain[message.HandoverOffer](),
	plain[message.HandoverAck](),
	plain[message.HandoverCommit](),
	plain[message.HandoverCommitAck](),
	plain[message.Sign](),
	plain[message.ListAsk](),
	plain[message.ListAnswer](),
}

// plain is the kind of a message that travels as it is.
func plain[M message.Message]() kind {
	return kind{
		of:     reflect.TypeFor[M](),
		fresh:  func() any { return new(M) },
		encode: func(_ *sendHosts, m message.Message) any { v := m.(M); return &v },
		decode: func(_ *knownHosts, v any) (message.Message, error) { return *v.(*M), nil },
	}
}

// numbers are the numbers of the types on the wire.
var numbers = func() map[reflect.Type]int {
	byType := make(map[reflect.Type]int, len(kinds))
	for i, k := range kinds {
		byType[k.of] = i
	}
	return byType
}()

// kindOf returns the number of a message's type, false for one that does not
// travel.
func kindOf(m message.Message) (int, bool) {
	number, ok := numbers[reflect.TypeOf(m)]
	return number, ok
}
