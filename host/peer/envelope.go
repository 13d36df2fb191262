package peer

import (
	"errors"
	"fmt"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/store"
)

// Envelope is the one form in which messages travel. Exactly one of the
// message fields is set; gob omits the others. Fields may be added, since
// gob matches them by name, but never change their type.
type Envelope struct {
	From model.HostRef
	// Epoch is the Hello that Sent counts from.
	Epoch uint64
	// Sent is the time of sending in milliseconds since the sender got the
	// answer to the Hello; negative when it was queued before.
	Sent int64

	Heartbeat         *message.Heartbeat
	TokenAsk          *message.TokenAsk
	TokenGrant        *message.TokenGrant
	Claim             *message.Claim
	ClaimAnswer       *message.ClaimAnswer
	ClaimEnd          *message.ClaimEnd
	ClaimEndAck       *message.ClaimEndAck
	Evidence          *message.Evidence
	EjectionSet       *message.EjectionSet
	ConfigOffer       *message.ConfigOffer
	ShardAsk          *message.ShardAsk
	Shards            *Shards
	ClaimIntent       *message.ClaimIntent
	ClaimIntentAck    *message.ClaimIntentAck
	RenewRelay        *message.RenewRelay
	RenewResult       *message.RenewResult
	HandoverOffer     *message.HandoverOffer
	HandoverAck       *message.HandoverAck
	HandoverCommit    *message.HandoverCommit
	HandoverCommitAck *message.HandoverCommitAck
}

// Shards carries message.Shards in their encoded form only.
type Shards struct{ Shards []Shard }

// Shard is one encoded shard.
type Shard struct {
	Hash    string
	Encoded []byte
}

// errEnvelope is the reason of every refused envelope.
var errEnvelope = errors.New("broken envelope")

// wrap puts a message into an envelope. It fails for a type that the envelope
// has no field for.
func wrap(from model.HostRef, m message.Message) (*Envelope, error) {
	e := &Envelope{From: from}
	switch m := m.(type) {
	case message.Heartbeat:
		e.Heartbeat = &m
	case message.TokenAsk:
		e.TokenAsk = &m
	case message.TokenGrant:
		e.TokenGrant = &m
	case message.Claim:
		e.Claim = &m
	case message.ClaimAnswer:
		e.ClaimAnswer = &m
	case message.ClaimEnd:
		e.ClaimEnd = &m
	case message.ClaimEndAck:
		e.ClaimEndAck = &m
	case message.Evidence:
		e.Evidence = &m
	case message.EjectionSet:
		e.EjectionSet = &m
	case message.ConfigOffer:
		e.ConfigOffer = &m
	case message.ShardAsk:
		e.ShardAsk = &m
	case message.Shards:
		e.Shards = wrapShards(m)
	default:
		return wrapSlot(e, m)
	}
	return e, nil
}

// wrapSlot wraps the messages about the ownership of slots.
func wrapSlot(e *Envelope, m message.Message) (*Envelope, error) {
	switch m := m.(type) {
	case message.ClaimIntent:
		e.ClaimIntent = &m
	case message.ClaimIntentAck:
		e.ClaimIntentAck = &m
	case message.RenewRelay:
		e.RenewRelay = &m
	case message.RenewResult:
		e.RenewResult = &m
	case message.HandoverOffer:
		e.HandoverOffer = &m
	case message.HandoverAck:
		e.HandoverAck = &m
	case message.HandoverCommit:
		e.HandoverCommit = &m
	case message.HandoverCommitAck:
		e.HandoverCommitAck = &m
	default:
		return nil, fmt.Errorf("%w: no field for %T", errEnvelope, m)
	}
	return e, nil
}

// unwrap returns the message of an envelope. It fails unless exactly one field
// is set and the content is whole.
func unwrap(e *Envelope) (message.Message, error) {
	if e.From.ID == "" {
		return nil, fmt.Errorf("%w: no sender", errEnvelope)
	}
	var found []message.Message
	found = add(found, e.Heartbeat)
	found = add(found, e.TokenAsk)
	found = add(found, e.TokenGrant)
	found = add(found, e.Claim)
	found = add(found, e.ClaimAnswer)
	found = add(found, e.ClaimEnd)
	found = add(found, e.ClaimEndAck)
	found = add(found, e.Evidence)
	found = add(found, e.EjectionSet)
	found = add(found, e.ConfigOffer)
	found = add(found, e.ShardAsk)
	found = add(found, e.ClaimIntent)
	found = add(found, e.ClaimIntentAck)
	found = add(found, e.RenewRelay)
	found = add(found, e.RenewResult)
	found = add(found, e.HandoverOffer)
	found = add(found, e.HandoverAck)
	found = add(found, e.HandoverCommit)
	found = add(found, e.HandoverCommitAck)
	if e.Shards != nil {
		shards, err := unwrapShards(e.Shards)
		if err != nil {
			return nil, err
		}
		found = append(found, shards)
	}
	if len(found) != 1 {
		return nil, fmt.Errorf("%w: %d messages, expected one", errEnvelope, len(found))
	}
	return found[0], nil
}

func add[M message.Message](found []message.Message, m *M) []message.Message {
	if m == nil {
		return found
	}
	return append(found, *m)
}

func wrapShards(m message.Shards) *Shards {
	s := &Shards{}
	for _, shard := range m.Shards {
		s.Shards = append(s.Shards, Shard{Hash: shard.Hash, Encoded: shard.Encoded})
	}
	return s
}

// unwrapShards decodes shards and checks each against its hash.
func unwrapShards(s *Shards) (message.Shards, error) {
	var m message.Shards
	for _, shard := range s.Shards {
		decoded, err := store.DecodeShard(shard.Hash, shard.Encoded)
		if err != nil {
			return message.Shards{}, fmt.Errorf("%w: %w", errEnvelope, err)
		}
		m.Shards = append(m.Shards, configuration.Shard(decoded))
	}
	return m, nil
}
