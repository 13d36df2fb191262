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

// Encode returns the text of a tree file, with the branches sorted by path.
func Encode(f File) ([]byte, error) {
	var b bytes.Buffer
	if err := encodeTable(&b, f.metadata()); err != nil {
		return nil, err
	}
	for _, p := range slices.Sorted(maps.Keys(f.Tree.Branches)) {
		if err := encodeBranch(&b, p, f.Tree.Branches[p]); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

func (f File) metadata() map[string]any {
	meta := make(map[string]any)
	if f.BaseVersion > 0 {
		meta[keyBase] = f.BaseVersion
	}
	if f.Subtree != "" {
		meta[keySubtree] = string(f.Subtree)
	}
	return meta
}

// encodeBranch writes a branch as a table. The root has no table header; TOML
// requires its settings to come first, which they do because the empty path
// sorts first.
func encodeBranch(b *bytes.Buffer, p configuration.Path, settings configuration.Settings) error {
	if p != "" {
		if err := encodeHeader(b, p); err != nil {
			return err
		}
	}
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		if err := encodeSetting(b, name, tomlValue(p, name, settings[name])); err != nil {
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

// encodeSetting writes one setting. A list that is too long for one line is
// written with one element per line.
func encodeSetting(b *bytes.Buffer, name string, value any) error {
	list, ok := value.([]string)
	if !ok || len(list) < 2 || len(name)+inlineListBytes(list) <= maxListLineBytes {
		return encodeTable(b, map[string]any{name: value})
	}
	return encodeMultilineList(b, name, list)
}

// maxListLineBytes is the line length above which a list is split over several
// lines.
const maxListLineBytes = 90

// inlineListBytes returns about how many bytes a list takes on one line, without
// its name.
func inlineListBytes(list []string) int {
	n := len(" = []")
	for _, v := range list {
		n += len(v) + len(`"", `)
	}
	return n
}

func encodeMultilineList(b *bytes.Buffer, name string, list []string) error {
	if err := encodeTable(b, map[string]any{name: []string{}}); err != nil {
		return err
	}
	b.Truncate(b.Len() - len("]\n"))
	b.WriteByte('\n')
	for _, v := range list {
		quoted, err := quoteString(v)
		if err != nil {
			return err
		}
		b.WriteString("  " + quoted + ",\n")
	}
	b.WriteString("]\n")
	return nil
}

// quoteString returns v as a quoted TOML string.
func quoteString(v string) (string, error) {
	var b bytes.Buffer
	err := encodeTable(&b, map[string]any{"v": v})
	return strings.TrimSpace(strings.TrimPrefix(b.String(), "v = ")), err
}

func encodeTable(b *bytes.Buffer, table map[string]any) error {
	encoder := toml.NewEncoder(b)
	encoder.Indent = ""
	return encoder.Encode(table)
}

// tomlValue converts a value to the most specific TOML type that decodes to the
// same value again.
func tomlValue(p configuration.Path, name, value string) any {
	if d, ok := configuration.Lookup(p, name); ok && d.List {
		return listValue(value)
	}
	if n, err := strconv.ParseInt(value, 10, 64); err == nil && strconv.FormatInt(n, 10) == value {
		return n
	}
	if value == "true" || value == "false" {
		return value == "true"
	}
	return value
}

// listValue converts the value of a list setting to a list. It falls back to a
// string for values that no list decodes to, such as one with an empty line.
func listValue(value string) any {
	lines := configuration.Lines(value)
	if slices.Contains(lines, "") {
		return value
	}
	if lines == nil {
		return []string{}
	}
	return lines
}
