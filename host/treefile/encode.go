package treefile

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"strings"

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
	if p != "" {
		if err := encodeHeader(b, p); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		if err := encodeSetting(b, name, encodeValue(p, name, settings[name])); err != nil {
			return err
		}
	}
	return nil
}

func encodeHeader(b *bytes.Buffer, p configuration.Path) error {
	if b.Len() > 0 {
		b.WriteByte('\n')
	}
	return encodeTable(b, map[string]any{string(p): map[string]any{}})
}

// encodeSetting writes a list that is too long for a line with one value a
// line.
func encodeSetting(b *bytes.Buffer, name string, value any) error {
	list, ok := value.([]string)
	if !ok || len(list) < 2 || len(name)+listLength(list) <= maxLine {
		return encodeTable(b, map[string]any{name: value})
	}
	return encodeLongList(b, name, list)
}

// maxLine is the length in bytes above which a list is broken into lines.
const maxLine = 90

// listLength returns the length of a list in one line.
func listLength(list []string) int {
	n := len(" = []")
	for _, v := range list {
		n += len(v) + len(`"", `)
	}
	return n
}

func encodeLongList(b *bytes.Buffer, name string, list []string) error {
	if err := encodeTable(b, map[string]any{name: []string{}}); err != nil {
		return err
	}
	b.Truncate(b.Len() - len("]\n"))
	b.WriteByte('\n')
	for _, v := range list {
		quoted, err := quote(v)
		if err != nil {
			return err
		}
		b.WriteString("  " + quoted + ",\n")
	}
	b.WriteString("]\n")
	return nil
}

// quote returns a text as a TOML string.
func quote(v string) (string, error) {
	var b bytes.Buffer
	err := encodeTable(&b, map[string]any{"v": v})
	return strings.TrimSpace(strings.TrimPrefix(b.String(), "v = ")), err
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
