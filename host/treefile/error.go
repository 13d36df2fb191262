package treefile

import (
	"fmt"
	"strings"

	"pollensail.dev/decision/configuration"
)

// Error is one fault of a tree file.
type Error struct {
	File     string
	Line     int    // 0: unknown
	Key      string // empty where the text is no TOML
	Expected string
}

// Error returns "file:line: key: expected ...".
func (e *Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: expected %s", place, e.Expected)
	}
	return fmt.Sprintf("%s: %s: expected %s", place, e.Key, e.Expected)
}

// Errors is every fault that was found in a file.
type Errors []*Error

// Error returns the faults, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Locate returns the problems of the file's tree with the lines that they come
// from, nil where there are none.
func (f File) Locate(name string, problems configuration.Problems) error {
	var faults Errors
	for _, p := range problems {
		key := string(p.Branch)
		if p.Setting != "" {
			key = strings.TrimPrefix(key+" "+p.Setting, " ")
		}
		if p.Value != "" {
			key += fmt.Sprintf(" = %q", p.Value)
		}
		faults = append(faults, &Error{
			File: name, Line: f.Line(p.Branch, p.Setting), Key: key, Expected: p.Expected,
		})
	}
	if faults == nil {
		return nil
	}
	return faults
}
