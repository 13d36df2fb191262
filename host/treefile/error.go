package treefile

import (
	"fmt"
	"strings"

	"pollensail.dev/decision/configuration"
)

// Error is one problem of a tree file.
type Error struct {
	File     string
	Line     int    // 0 if unknown
	Key      string // branch and setting; may be empty if the file is not valid TOML
	Expected string // description of a valid value
}

// Error returns "file:line: key: expected ...".
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: expected %s", position, e.Expected)
	}
	return fmt.Sprintf("%s: %s: expected %s", position, e.Key, e.Expected)
}

// Errors holds all problems that were found in a file.
type Errors []*Error

// Error lists the problems, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// LocateProblems converts validation problems of the file's tree to Errors with
// the lines of the file. It returns nil if there are no problems.
func (f File) LocateProblems(name string, problems configuration.Problems) error {
	var errs Errors
	for _, p := range problems {
		key := string(p.Branch)
		if p.Setting != "" {
			key = strings.TrimPrefix(key+" "+p.Setting, " ")
		}
		if p.Value != "" {
			key += fmt.Sprintf(" = %q", p.Value)
		}
		errs = append(errs, &Error{
			File: name, Line: f.Line(p.Branch, p.Setting), Key: key, Expected: p.Expected,
		})
	}
	if errs == nil {
		return nil
	}
	return errs
}
