package peer

import (
	"fmt"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/message"
	"pollensail.dev/host/store"
)

// Shards is the wire form of message.Shards. It contains only the encoded shards;
// the receiver decodes them.
type Shards struct {
	Shards  []Shard
	Missing []string
	Root    configuration.Root
}

// Shard is one encoded shard of the configuration.
type Shard struct {
	Hash    string
	Encoded []byte
}

func encodeShards(_ *senderHosts, m message.Message) any {
	from := m.(message.Shards)
	s := &Shards{Missing: from.Missing, Root: from.Root}
	for _, shard := range from.Shards {
		s.Shards = append(s.Shards, Shard{Hash: shard.Hash, Encoded: shard.Encoded})
	}
	return s
}

// decodeShards decodes shards and verifies the hash of each.
func decodeShards(_ *receiverHosts, v any) (message.Message, error) {
	from := v.(*Shards)
	m := message.Shards{Missing: from.Missing, Root: from.Root}
	for _, shard := range from.Shards {
		decoded, err := store.DecodeShard(shard.Hash, shard.Encoded)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errInvalidEnvelope, err)
		}
		m.Shards = append(m.Shards, decoded)
	}
	return m, nil
}
