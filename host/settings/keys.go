package settings

import (
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
)

// describeKnownKeys lists the valid keys of the innermost existing table on the
// path of an unknown key.
func describeKnownKeys(key toml.Key) string {
	t := reflect.TypeFor[Settings]()
	var table []string
	for _, name := range key[:len(key)-1] {
		f, ok := fieldByTag(t, name)
		if !ok || f.Type.Kind() != reflect.Struct {
			break
		}
		t = f.Type
		table = append(table, name)
	}
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("toml"))
	}
	list := "one of " + strings.Join(names, ", ")
	if len(table) > 0 {
		list += " in [" + strings.Join(table, ".") + "]"
	}
	return list
}

// fieldByTag returns the field of a struct type with the given TOML key.
func fieldByTag(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// keyLine returns the line, counted from 1, of a key or table in valid TOML
// text, or 0 if it is not found. It searches the text because the TOML library
// reports no position of keys that it did not decode.
func keyLine(data []byte, key []string) int {
	want := strings.Join(key, ".")
	table := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = normalizeKey(strings.Trim(line[:strings.LastIndexByte(line, ']')+1], "[]"))
			if table == want {
				return i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && joinKey(table, normalizeKey(name)) == want {
			return i + 1
		}
	}
	return 0
}

// normalizeKey removes quotes and blanks from a TOML key.
func normalizeKey(name string) string {
	return strings.Map(func(r rune) rune {
		if strings.ContainsRune(" \t\"'", r) {
			return -1
		}
		return r
	}, name)
}

func joinKey(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
