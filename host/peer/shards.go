package peer

import (
	"fmt"

	"pollensail.dev/decision/message"
	"pollensail.dev/host/store"
)

// Shards is the wire form of message.Shards. It contains only the encoded shards;
// the receiver decodes them.
type Shards struct{ Shards []Shard }

// Shard is one encoded shard of the configuration.
type Shard struct {
	Hash    string
	Encoded []byte
}

func encodeShards(_ *senderHosts, m message.Message) any {
	s := &Shards{}
	for _, shard := range m.(message.Shards).Shards {
		s.Shards = append(s.Shards, Shard{Hash: shard.Hash, Encoded: shard.Encoded})
	}
	return s
}

// decodeShards decodes shards and verifies the hash of each.
func decodeShards(_ *receiverHosts, v any) (message.Message, error) {
	var m message.Shards
	for _, shard := range v.(*Shards).Shards {
		decoded, err := store.DecodeShard(shard.Hash, shard.Encoded)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errInvalidEnvelope, err)
		}
		m.Shards = append(m.Shards, decoded)
	}
	return m, nil
}
