package treefile

import (
	"strings"

	"github.com/BurntSushi/toml"

	"pollensail.dev/decision/configuration"
)

// place is a setting in a file, or a branch where setting is empty.
type place struct {
	branch  configuration.Path
	setting string
}

// lineIndex holds the line of each place, counted from 1. The TOML library
// reports no positions of keys, so they are found in the text; a line of a
// multi-line string that looks like a key may be taken for one.
type lineIndex map[place]int

func indexLines(text string) lineIndex {
	index := make(lineIndex)
	var branch configuration.Path
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if header, ok := parseHeader(line); ok {
			branch = header
			index.add(place{branch, ""}, number)
			continue
		}
		if key, ok := parseKey(line); ok {
			index.add(place{branch, key}, number)
		}
	}
	return index
}

// add keeps the first line of a place.
func (x lineIndex) add(p place, line int) {
	if _, ok := x[p]; !ok {
		x[p] = line
	}
}

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

func parseKey(line string) (string, bool) {
	key, _, ok := strings.Cut(line, "=")
	key = strings.Trim(key, " \t\"'")
	return key, ok && key != "" && !strings.HasPrefix(key, "#")
}
