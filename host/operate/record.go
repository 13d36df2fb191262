package operate

import (
	"encoding/json"
	"strconv"

	"github.com/ansel1/merry/v2"

	"pollensail.dev/decision/configuration"
)

// rootKey is the record that names the tree in force.
const rootKey = "root"

func shardKey(hash string) string { return "shard/" + hash }

// historyKey is the record that keeps the root of a version that was replaced.
func historyKey(version uint64) string { return "history/" + strconv.FormatUint(version, 10) }

type rootJSON struct {
	Version uint64      `json:"version"`
	WriteID string      `json:"write_id"`
	Author  string      `json:"author"`
	Note    string      `json:"note"`
	Shards  []shardJSON `json:"shards"`
}

type shardJSON struct {
	Name string `json:"name"`
	Hash string `json:"hash"`
}

func encodeRoot(root configuration.Root) ([]byte, error) {
	r := rootJSON{Version: root.Version, WriteID: root.WriteID, Author: root.Author, Note: root.Note}
	for _, ref := range root.Shards {
		r.Shards = append(r.Shards, shardJSON(ref))
	}
	return json.Marshal(r)
}

func decodeRoot(key string, value []byte) (configuration.Root, error) {
	var r rootJSON
	if err := json.Unmarshal(value, &r); err != nil {
		return configuration.Root{}, merry.Errorf("store record %s is broken: %w", key, err)
	}
	root := configuration.Root{Version: r.Version, WriteID: r.WriteID, Author: r.Author, Note: r.Note}
	for _, ref := range r.Shards {
		root.Shards = append(root.Shards, configuration.ShardRef(ref))
	}
	return root, nil
}
