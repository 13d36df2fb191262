package settings

import (
	"reflect"
	"strings"

	"github.com/BurntSushi/toml"
)

// knownKeys lists the keys of the innermost table of key that exists.
func knownKeys(key toml.Key) string {
	t := reflect.TypeFor[Settings]()
	var table []string
	for _, name := range key[:len(key)-1] {
		f, ok := fieldOf(t, name)
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

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("toml") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

// keyLine returns the line of a key or table of a valid TOML file, 0 when it
// is not there. The TOML library gives no position for keys that it did not
// decode.
func keyLine(data []byte, key []string) int {
	want := strings.Join(key, ".")
	table := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = unquote(strings.Trim(line[:strings.LastIndexByte(line, ']')+1], "[]"))
			if table == want {
				return i + 1
			}
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if ok && join(table, unquote(name)) == want {
			return i + 1
		}
	}
	return 0
}

func unquote(name string) string {
	return strings.Map(func(r rune) rune {
		if strings.ContainsRune(" \t\"'", r) {
			return -1
		}
		return r
	}, name)
}

func join(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}
