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

// Decode parses the text of a tree file. The file name is used in errors only.
// Every error is of type Errors. Decode does not validate the settings.
func Decode(name string, text []byte) (File, error) {
	var top map[string]any
	if _, err := toml.Decode(string(text), &top); err != nil {
		return File{}, Errors{newSyntaxError(name, err)}
	}
	d := decoder{
		name: name,
		file: File{
			Tree:  configuration.Tree{Branches: make(map[configuration.Path]configuration.Settings)},
			lines: newLineIndex(string(text)),
		},
	}
	d.decodeTables(top)
	if len(d.errs) > 0 {
		return File{}, d.errs
	}
	return d.file, nil
}

func newSyntaxError(name string, err error) *Error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return &Error{File: name, Line: parse.Position.Line, Key: parse.LastKey, Expected: "valid TOML: " + parse.Message}
	}
	return &Error{File: name, Expected: "valid TOML: " + err.Error()}
}

// decoder collects the content and all errors of one file.
type decoder struct {
	name string
	file File
	errs Errors
}

func (d *decoder) addError(p configuration.Path, setting, expected string) {
	key := strings.TrimSpace(string(p) + " " + setting)
	d.errs = append(d.errs, &Error{
		File: d.name, Line: d.file.Line(p, setting), Key: key, Expected: expected,
	})
}

// decodeTables decodes top-level tables as branches and other top-level keys as
// settings of the root.
func (d *decoder) decodeTables(top map[string]any) {
	d.extractMetadata(top)
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

// extractMetadata decodes the metadata keys and removes them from the table.
func (d *decoder) extractMetadata(top map[string]any) {
	if v, ok := top[keyBase]; ok {
		base, isNumber := v.(int64)
		if !isNumber || base < 0 {
			d.addError("", keyBase, "a version number")
		}
		d.file.BaseVersion = uint64(max(base, 0))
	}
	if v, ok := top[keySubtree]; ok {
		subtree, isString := v.(string)
		if !isString || subtree == "" {
			d.addError("", keySubtree, "the path of a branch")
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
			d.addError(p, name, expected)
			continue
		}
		settings[name] = value
	}
	if !d.inSubtree(p) {
		d.addError(p, "", fmt.Sprintf("a branch at or below the file's subtree %q", d.file.Subtree))
	}
	d.file.Tree.Branches[p] = settings
}

func (d *decoder) inSubtree(p configuration.Path) bool {
	return d.file.Subtree == "" || p.IsWithin(d.file.Subtree)
}

// decodeValue returns a TOML value as the tree stores it, or a description of
// the expected value if v has the wrong type.
func decodeValue(p configuration.Path, name string, v any) (value, expected string) {
	if list, ok := v.([]any); ok {
		return decodeList(p, name, list)
	}
	value, ok := decodeScalar(v)
	if !ok {
		return "", "a string, a whole number, true, false or a list of strings; a branch is a table with its quoted path, such as [\"accounts/ntnu\"]"
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
			return "", "a list of single-line strings"
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
