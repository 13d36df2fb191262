package treefile

import (
	"strings"

	"github.com/BurntSushi/toml"

	"pollensail.dev/decision/configuration"
)

// lineKey identifies a setting in a file, or the table header of a branch if
// setting is empty.
type lineKey struct {
	branch  configuration.Path
	setting string
}

// lineIndex maps settings and table headers to their lines, counted from 1. It
// is built by scanning the text, because the TOML library reports no positions
// of keys. The scan is approximate: a line of a multi-line string that looks
// like a key is indexed as one.
type lineIndex map[lineKey]int

func newLineIndex(text string) lineIndex {
	index := make(lineIndex)
	var branch configuration.Path
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if header, ok := parseHeader(line); ok {
			branch = header
			index.addFirst(lineKey{branch, ""}, number)
			continue
		}
		if key, ok := parseKey(line); ok {
			index.addFirst(lineKey{branch, key}, number)
		}
	}
	return index
}

// addFirst records the line of a key, unless an earlier line is recorded.
func (x lineIndex) addFirst(key lineKey, line int) {
	if _, ok := x[key]; !ok {
		x[key] = line
	}
}

// parseHeader returns the path in a table header such as ["accounts/a"].
func parseHeader(line string) (configuration.Path, bool) {
	if !strings.HasPrefix(line, "[") {
		return "", false
	}
	var table map[string]any
	if _, err := toml.Decode(line, &table); err != nil || len(table) != 1 {
		return "", false
	}
	for name := range table {
		return configuration.Path(name), true
	}
	return "", false
}

// parseKey returns the key of a line of the form key = value.
func parseKey(line string) (string, bool) {
	key, _, ok := strings.Cut(line, "=")
	key = strings.Trim(key, " \t\"'")
	return key, ok && key != "" && !strings.HasPrefix(key, "#")
}
