package peer

import (
	"errors"
	"reflect"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Hello is the first message of a link and of each epoch.
type Hello struct {
	From  model.HostRef
	Epoch uint64
}

// Envelope is the header of each message. The message follows in the same frame
// as a separate value.
type Envelope struct {
	// Epoch is the epoch number of the Hello that Sent is relative to.
	Epoch uint64
	// Sent is the time when the message was queued, in milliseconds since the
	// sender got the response to the Hello; negative if it was queued before.
	Sent int64
	// Kind is the message's type, an index into kinds.
	Kind int

	body any // pointer to the wire form of the message
}

// errInvalidEnvelope is wrapped by the errors for invalid envelopes and messages.
var errInvalidEnvelope = errors.New("invalid envelope")

// messageKind is the conversion of one message type to its wire form and back.
// Wire forms are pointers.
type messageKind struct {
	messageType reflect.Type
	newWireForm func() any // returns an empty wire form to decode into
	encode      func(*senderHosts, message.Message) any
	decode      func(*receiverHosts, any) (message.Message, error)
}

// kinds lists the message types in the order of their numbers on the wire. New
// types are only appended, because hosts of two releases communicate during a
// rollout.
var kinds = []messageKind{
	{reflect.TypeFor[message.Heartbeat](), func() any { return new(Heartbeat) }, encodeHeartbeat, decodeHeartbeat},
	unconverted[message.TokenAsk](),
	unconverted[message.TokenGrant](),
	unconverted[message.Claim](),
	unconverted[message.ClaimAnswer](),
	unconverted[message.ClaimEnd](),
	unconverted[message.ClaimEndAck](),
	unconverted[message.Evidence](),
	unconverted[message.EjectionSet](),
	unconverted[message.ConfigOffer](),
	unconverted[message.ShardAsk](),
	{reflect.TypeFor[message.Shards](), func() any { return new(Shards) }, encodeShards, decodeShards},
	unconverted[message.ClaimIntent](),
	unconverted[message.ClaimIntentAck](),
	unconverted[message.RenewRelay](),
	unconverted[message.RenewResult](),
	unconverted[message.HandoverOffer](),
	unconverted[message.HandoverAck](),
	unconverted[message.HandoverCommit](),
	unconverted[message.HandoverCommitAck](),
	unconverted[message.Sign](),
	unconverted[message.ListAsk](),
	unconverted[message.ListAnswer](),
	unconverted[message.UnservedReport](),
	{reflect.TypeFor[message.HealthBatches](), func() any { return new(HealthBatches) }, encodeHealthBatches, decodeHealthBatches},
	unconverted[message.EvacuationNotice](),
}

// unconverted returns the kind of a message type that is its own wire form.
func unconverted[M message.Message]() messageKind {
	return messageKind{
		messageType: reflect.TypeFor[M](),
		newWireForm: func() any { return new(M) },
		encode:      func(_ *senderHosts, m message.Message) any { v := m.(M); return &v },
		decode:      func(_ *receiverHosts, v any) (message.Message, error) { return *v.(*M), nil },
	}
}

// kindNumbers maps message types to their numbers on the wire.
var kindNumbers = func() map[reflect.Type]int {
	byType := make(map[reflect.Type]int, len(kinds))
	for i, k := range kinds {
		byType[k.messageType] = i
	}
	return byType
}()

// kindNumber returns the number of a message's type on the wire, and false for a
// type that has no wire form.
func kindNumber(m message.Message) (int, bool) {
	number, ok := kindNumbers[reflect.TypeOf(m)]
	return number, ok
}
