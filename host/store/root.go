package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
)

// RootKey is the key of the root record, which refers to the tree in force.
const RootKey = rootKey

// ShardKey returns the key of the shard with the given hash.
func ShardKey(hash string) string { return shardKey(hash) }

// HistoryKey returns the key of the record that keeps the root of a version after
// a newer version has replaced it.
func HistoryKey(version uint64) string { return "history/" + strconv.FormatUint(version, 10) }

// RootRecord is the root record of a Store that is no RootReader.
type RootRecord struct {
	Root      configuration.Root
	Evacuated []model.DomainID // evacuated failure domains, sorted and distinct
}

// EncodeRoot returns the JSON value of a root record without evacuated failure
// domains.
func EncodeRoot(root configuration.Root) ([]byte, error) {
	return EncodeRootRecord(RootRecord{Root: root})
}

// EncodeRootRecord returns the JSON value of a root record.
func EncodeRootRecord(record RootRecord) ([]byte, error) {
	encoded := encodeRoot(record.Root)
	encoded.Evacuated = record.Evacuated
	return json.Marshal(encoded)
}

// DecodeRoot decodes the root of a root record. Errors match ErrBroken.
func DecodeRoot(value []byte) (configuration.Root, error) {
	record, err := DecodeRootRecord(value)
	return record.Root, err
}

// DecodeRootRecord is the inverse of EncodeRootRecord. Errors match ErrBroken.
func DecodeRootRecord(value []byte) (RootRecord, error) {
	var r rootJSON
	if err := decodeStrict(value, &r); err != nil {
		return RootRecord{}, Broken(fmt.Errorf("root record: %w", err))
	}
	if r.Version == 0 {
		return RootRecord{}, Broken(errors.New("root record: no version"))
	}
	root := configuration.Root{Version: r.Version, WriteID: r.WriteID, Author: r.Author, Note: r.Note}
	for _, s := range r.Shards {
		root.Shards = append(root.Shards, configuration.ShardRef(s))
	}
	// Hosts rely on the order, whoever wrote the record.
	slices.Sort(r.Evacuated)
	return RootRecord{Root: root, Evacuated: slices.Compact(r.Evacuated)}, nil
}
