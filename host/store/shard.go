package store

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"unicode/utf8"

	"pollensail.dev/decision/configuration"
)

// MaxShardSize is the size in bytes up to which branches share a shard. A larger
// branch has a shard of its own.
const MaxShardSize = 32 << 10

// EncodeShard encodes branches as canonical JSON, with sorted keys and without
// spaces, so that equal branches have equal hashes. It rejects text that is not
// UTF-8, because the JSON encoding would change it.
func EncodeShard(branches map[configuration.Path]configuration.Settings) (configuration.Shard, error) {
	if err := checkUTF8(branches); err != nil {
		return configuration.Shard{}, err
	}
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(withoutNilSettings(branches)); err != nil {
		return configuration.Shard{}, err
	}
	encoded := bytes.TrimSuffix(b.Bytes(), []byte("\n"))
	return configuration.Shard{Hash: hashOf(encoded), Encoded: encoded, Branches: branches}, nil
}

// DecodeShard decodes a shard and verifies its hash. Errors match ErrBroken.
func DecodeShard(hash string, encoded []byte) (configuration.Shard, error) {
	if got := hashOf(encoded); got != hash {
		return configuration.Shard{}, Broken(fmt.Errorf("shard %q: content has hash %s", hash, got))
	}
	branches := make(map[configuration.Path]configuration.Settings)
	if err := decodeStrict(encoded, &branches); err != nil {
		return configuration.Shard{}, Broken(fmt.Errorf("shard %s: %w", hash, err))
	}
	return configuration.Shard{Hash: hash, Encoded: encoded, Branches: withoutNilSettings(branches)}, nil
}

func hashOf(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}

// withoutNilSettings replaces nil settings with empty ones, so that a branch
// without settings has only one encoding, and null is decoded in the same way.
func withoutNilSettings(branches map[configuration.Path]configuration.Settings) map[configuration.Path]configuration.Settings {
	full := make(map[configuration.Path]configuration.Settings, len(branches))
	for path, settings := range branches {
		if settings == nil {
			settings = configuration.Settings{}
		}
		full[path] = settings
	}
	return full
}

func checkUTF8(branches map[configuration.Path]configuration.Settings) error {
	for path, settings := range branches {
		ok := utf8.ValidString(string(path))
		for name, value := range settings {
			ok = ok && utf8.ValidString(name) && utf8.ValidString(value)
		}
		if !ok {
			return fmt.Errorf("branch %q: not UTF-8", path)
		}
	}
	return nil
}

// EncodeTree divides a tree into shards and returns the shard references for its
// root record and the shards, both sorted by shard name.
func EncodeTree(tree configuration.Tree) ([]configuration.ShardRef, []configuration.Shard, error) {
	parts := configuration.Split(tree)
	refs := make([]configuration.ShardRef, 0, len(parts))
	shards := make([]configuration.Shard, 0, len(parts))
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		shard, err := EncodeShard(parts[name])
		if err != nil {
			return nil, nil, err
		}
		refs = append(refs, configuration.ShardRef{Name: name, Hash: shard.Hash})
		shards = append(shards, shard)
	}
	return refs, shards, nil
}
