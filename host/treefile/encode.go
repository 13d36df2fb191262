package treefile

import (
	"bytes"
	"maps"
	"slices"
	"strconv"

	"github.com/BurntSushi/toml"

	"pollensail.dev/decision/configuration"
)

// Encode returns the text of a tree file, branches in order of their paths.
func Encode(f File) ([]byte, error) {
	var b bytes.Buffer
	if err := encodeTable(&b, f.meta()); err != nil {
		return nil, err
	}
	for _, p := range slices.Sorted(maps.Keys(f.Tree.Branches)) {
		if err := encodeBranch(&b, p, f.Tree.Branches[p]); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

func (f File) meta() map[string]any {
	meta := make(map[string]any)
	if f.Base > 0 {
		meta[keyBase] = f.Base
	}
	if f.Subtree != "" {
		meta[keySubtree] = string(f.Subtree)
	}
	return meta
}

// encodeBranch writes the branch as a table. The root has no header; it comes
// first because its path is the least.
func encodeBranch(b *bytes.Buffer, p configuration.Path, settings configuration.Settings) error {
	table := make(map[string]any, len(settings))
	for name, value := range settings {
		table[name] = encodeValue(p, name, value)
	}
	if p == "" {
		return encodeTable(b, table)
	}
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	return encodeTable(b, map[string]any{string(p): table})
}

func encodeTable(b *bytes.Buffer, table map[string]any) error {
	encoder := toml.NewEncoder(b)
	encoder.Indent = ""
	return encoder.Encode(table)
}

// encodeValue returns the natural TOML type of a value, such that decoding
// gives the same value.
func encodeValue(p configuration.Path, name, value string) any {
	if d, ok := configuration.Lookup(p, name); ok && d.List {
		return encodeList(value)
	}
	if n, err := strconv.ParseInt(value, 10, 64); err == nil && strconv.FormatInt(n, 10) == value {
		return n
	}
	if value == "true" || value == "false" {
		return value == "true"
	}
	return value
}

// encodeList falls back to text for values that no list gives, such as one
// with an empty line.
func encodeList(value string) any {
	lines := configuration.Lines(value)
	if slices.Contains(lines, "") {
		return value
	}
	if lines == nil {
		return []string{}
	}
	return lines
}
