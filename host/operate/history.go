package operate

import (
	"context"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/store"
)

// HistoryEntry describes one version of the tree.
type HistoryEntry struct {
	Version uint64
	Author  string
	Note    string
	WriteID string
	// ChangedShards counts the shards that the previous version does not have.
	ChangedShards int
}

// History returns up to limit versions, newest first.
func (r *Repository) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	root, _, err := r.loadRoot(ctx, store.RootKey)
	if err != nil {
		return nil, err
	}
	var entries []HistoryEntry
	for root.Version > 0 && len(entries) < limit {
		previous, _, err := r.loadRoot(ctx, store.HistoryKey(root.Version-1))
		if err != nil {
			return nil, err
		}
		entries = append(entries, HistoryEntry{
			Version:       root.Version,
			Author:        root.Author,
			Note:          root.Note,
			WriteID:       root.WriteID,
			ChangedShards: countNewShards(previous.Shards, root.Shards),
		})
		root = previous
	}
	return entries, nil
}

func countNewShards(before, after []configuration.ShardRef) int {
	known := make(map[string]bool, len(before))
	for _, ref := range before {
		known[ref.Hash] = true
	}
	n := 0
	for _, ref := range after {
		if !known[ref.Hash] {
			n++
		}
	}
	return n
}
