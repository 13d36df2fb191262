package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
)

// rootKey is the key of the root record, which refers to the tree in force.
const rootKey = "root"

// Records reads and writes the fleet's records in a Store as typed values.
type Records struct{ Store Store }

// Slot reads a slot's record. Version 0 means that there is none.
func (r Records) Slot(ctx context.Context, id model.SlotID) (model.SlotRecord, uint64, error) {
	value, version, err := r.Store.Get(ctx, slotKey(id))
	if err != nil || version == 0 {
		return model.SlotRecord{}, 0, err
	}
	record, err := decodeSlot(value)
	return record, version, err
}

// SwapSlot writes a slot's record if the current version is the given one, and
// returns the new version.
func (r Records) SwapSlot(ctx context.Context, id model.SlotID, version uint64, record model.SlotRecord) (uint64, error) {
	value, err := json.Marshal(slotJSON{
		Host:        record.Owner.ID,
		Incarnation: record.Owner.Incarnation,
		Term:        record.Term,
		Renewal:     record.Renewal,
		Continuous:  record.Continuous,
		Restores:    record.Restores,
	})
	if err != nil {
		return 0, err
	}
	return r.Store.CompareAndSwap(ctx, slotKey(id), version, value)
}

// Restores returns how often the store has come back from an older copy, as far as its
// answers have shown; 0 if it does not say.
func (r Records) Restores() uint64 {
	if counter, ok := r.Store.(RestoreCounter); ok {
		return counter.Restores()
	}
	return 0
}

// Root reads the root record and the evacuated failure domains.
func (r Records) Root(ctx context.Context) (RootReply, error) {
	if reader, ok := r.Store.(RootReader); ok {
		return reader.ReadRoot(ctx)
	}
	return decodeRootReply(r.Store.Get(ctx, rootKey))
}

// WatchRoot waits until the root's store version is greater than after, or the
// platform ends the wait, and returns the current root record and the evacuated
// failure domains. A RootReader also ends the wait when these change.
func (r Records) WatchRoot(ctx context.Context, after uint64) (RootReply, error) {
	if reader, ok := r.Store.(RootReader); ok {
		return reader.WatchRoot(ctx, after)
	}
	return decodeRootReply(r.Store.Watch(ctx, rootKey, after))
}

// SwapRoot writes the root record if its current store version is the given one,
// and returns the new version.
func (r Records) SwapRoot(ctx context.Context, version uint64, root configuration.Root) (uint64, error) {
	value, err := json.Marshal(encodeRoot(root))
	if err != nil {
		return 0, err
	}
	return r.Store.CompareAndSwap(ctx, rootKey, version, value)
}

// Shard reads one shard and verifies its hash. A missing shard is an ErrBroken.
func (r Records) Shard(ctx context.Context, hash string) (configuration.Shard, error) {
	value, version, err := r.Store.Get(ctx, shardKey(hash))
	if err != nil {
		return configuration.Shard{}, err
	}
	if version == 0 {
		return configuration.Shard{}, Broken(fmt.Errorf("shard %s: not in the store", hash))
	}
	return DecodeShard(hash, value)
}

// PutShard writes a shard. It succeeds if the shard is already in the store,
// because shards are immutable.
func (r Records) PutShard(ctx context.Context, shard configuration.Shard) error {
	_, err := r.Store.CompareAndSwap(ctx, shardKey(shard.Hash), 0, shard.Encoded)
	if errors.Is(err, ErrConflict) {
		return nil
	}
	return err
}

func slotKey(id model.SlotID) string {
	return "slot/" + string(id.Domain) + "/" + strconv.Itoa(id.Index)
}

func shardKey(hash string) string { return "shard/" + hash }

type slotJSON struct {
	Host        model.HostID `json:"host"`
	Incarnation uint64       `json:"incarnation"`
	Term        uint64       `json:"term"`
	Renewal     uint64       `json:"renewal"`
	Continuous  bool         `json:"continuous"`
	// Restores is left out while it is 0, because hosts of an older release reject a
	// record with an unknown field.
	Restores uint64 `json:"restores,omitempty"`
}

func decodeSlot(value []byte) (model.SlotRecord, error) {
	var s slotJSON
	if err := decodeStrict(value, &s); err != nil {
		return model.SlotRecord{}, Broken(fmt.Errorf("slot record: %w", err))
	}
	if s.Host == "" || s.Term == 0 {
		return model.SlotRecord{}, Broken(errors.New("slot record: no host or term"))
	}
	return model.SlotRecord{
		Owner:      model.HostRef{ID: s.Host, Incarnation: s.Incarnation},
		Term:       s.Term,
		Renewal:    s.Renewal,
		Continuous: s.Continuous,
		Restores:   s.Restores,
	}, nil
}

type rootJSON struct {
	Version uint64      `json:"version"`
	WriteID string      `json:"write_id"`
	Author  string      `json:"author"`
	Note    string      `json:"note"`
	Shards  []shardJSON `json:"shards"`
	// Evacuated are the evacuated failure domains. They do not belong to the tree; the
	// record holds them so that one watch covers both.
	Evacuated []model.DomainID `json:"evacuated,omitempty"`
}

type shardJSON struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

func encodeRoot(root configuration.Root) rootJSON {
	r := rootJSON{Version: root.Version, WriteID: root.WriteID, Author: root.Author, Note: root.Note}
	for _, s := range root.Shards {
		r.Shards = append(r.Shards, shardJSON(s))
	}
	return r
}

func decodeRootReply(value []byte, version uint64, err error) (RootReply, error) {
	if err != nil || version == 0 {
		return RootReply{}, err
	}
	record, err := DecodeRootRecord(value)
	if err != nil {
		return RootReply{Version: version}, err
	}
	evacuation := model.Evacuation{Revision: version, Domains: record.Evacuated}
	return RootReply{Root: record.Root, Version: version, Evacuation: evacuation}, nil
}

// decodeStrict decodes one JSON value. It rejects unknown fields and data after
// the value.
func decodeStrict(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("data after the JSON value")
	}
	return nil
}
