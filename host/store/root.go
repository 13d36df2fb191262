package store

import (
	"encoding/json"
	"strconv"

	"pollensail.dev/decision/configuration"
)

// RootKey is the key of the root record, which refers to the tree in force.
const RootKey = rootKey

// ShardKey returns the key of the shard with the given hash.
func ShardKey(hash string) string { return shardKey(hash) }

// HistoryKey returns the key of the record that keeps the root of a version after
// a newer version has replaced it.
func HistoryKey(version uint64) string { return "history/" + strconv.FormatUint(version, 10) }

// EncodeRoot returns the JSON value of a root record.
func EncodeRoot(root configuration.Root) ([]byte, error) { return json.Marshal(encodeRoot(root)) }

// DecodeRoot is the inverse of EncodeRoot. Errors match ErrBroken.
func DecodeRoot(value []byte) (configuration.Root, error) { return decodeRoot(value) }
