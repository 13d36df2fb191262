package treefile

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"pollensail.dev/decision/configuration"
)

// Decode parses the text of a tree file. The name is for messages. Errors are
// Errors. Whether the settings are valid is not checked here.
func Decode(name string, text []byte) (File, error) {
	var top map[string]any
	if _, err := toml.Decode(string(text), &top); err != nil {
		return File{}, Errors{syntaxError(name, err)}
	}
	d := decoder{
		name: name,
		file: File{
			Tree:  configuration.Tree{Branches: make(map[configuration.Path]configuration.Settings)},
			lines: indexLines(string(text)),
		},
	}
	d.decodeTop(top)
	if len(d.faults) > 0 {
		return File{}, d.faults
	}
	return d.file, nil
}

func syntaxError(name string, err error) *Error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return &Error{File: name, Line: parse.Position.Line, Key: parse.LastKey, Expected: "valid TOML: " + parse.Message}
	}
	return &Error{File: name, Expected: "valid TOML: " + err.Error()}
}

type decoder struct {
	name   string
	file   File
	faults Errors
}

func (d *decoder) fault(p configuration.Path, setting, expected string) {
	key := strings.TrimSpace(string(p) + " " + setting)
	d.faults = append(d.faults, &Error{
		File: d.name, Line: d.file.Line(p, setting), Key: key, Expected: expected,
	})
}

// decodeTop takes tables as branches and everything else as settings of the
// root.
func (d *decoder) decodeTop(top map[string]any) {
	d.decodeMeta(top)
	root := make(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(top)) {
		if table, ok := top[name].(map[string]any); ok {
			d.decodeBranch(configuration.Path(name), table)
			continue
		}
		root[name] = top[name]
	}
	if len(root) > 0 {
		d.decodeBranch("", root)
	}
}

// decodeMeta takes the keys that are not settings out of the table.
func (d *decoder) decodeMeta(top map[string]any) {
	if v, ok := top[keyBase]; ok {
		base, isNumber := v.(int64)
		if !isNumber || base < 0 {
			d.fault("", keyBase, "a version number")
		}
		d.file.Base = uint64(max(base, 0))
	}
	if v, ok := top[keySubtree]; ok {
		subtree, isText := v.(string)
		if !isText || subtree == "" {
			d.fault("", keySubtree, "the path of a branch")
		}
		d.file.Subtree = configuration.Path(subtree)
	}
	delete(top, keyBase)
	delete(top, keySubtree)
}

func (d *decoder) decodeBranch(p configuration.Path, table map[string]any) {
	settings := make(configuration.Settings, len(table))
	for _, name := range slices.Sorted(maps.Keys(table)) {
		value, expected := decodeValue(p, name, table[name])
		if expected != "" {
			d.fault(p, name, expected)
			continue
		}
		settings[name] = value
	}
	if !d.covers(p) {
		d.fault(p, "", fmt.Sprintf("a branch at or below the file's subtree %q", d.file.Subtree))
	}
	d.file.Tree.Branches[p] = settings
}

func (d *decoder) covers(p configuration.Path) bool {
	return d.file.Subtree == "" || p.IsWithin(d.file.Subtree)
}

// decodeValue returns a value in the notation of the tree, or else what was
// expected.
func decodeValue(p configuration.Path, name string, v any) (value, expected string) {
	if list, ok := v.([]any); ok {
		return decodeList(p, name, list)
	}
	value, ok := decodeScalar(v)
	if !ok {
		return "", "a text, a whole number, true, false or a list of texts; a branch is a table with its quoted path, such as [\"accounts/ntnu\"]"
	}
	return value, ""
}

func decodeList(p configuration.Path, name string, list []any) (value, expected string) {
	if d, ok := configuration.Lookup(p, name); ok && !d.List {
		return "", "a single value: " + d.Expected
	}
	values := make([]string, len(list))
	for i, element := range list {
		v, ok := decodeScalar(element)
		if !ok || v == "" || strings.Contains(v, "\n") {
			return "", "a list of texts of one line each"
		}
		values[i] = v
	}
	return configuration.JoinLines(values), ""
}

func decodeScalar(v any) (string, bool) {
	switch v := v.(type) {
	case string:
		return v, true
	case int64:
		return strconv.FormatInt(v, 10), true
	case bool:
		return strconv.FormatBool(v), true
	default:
		return "", false
	}
}
