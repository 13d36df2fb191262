package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that makes a tree invalid.
type Problem struct {
	Branch   Path
	Setting  string // empty where the branch itself is at fault
	Value    string // empty where there is none
	Expected string
}

// secretShown stands for a value that is not repeated in messages.
const secretShown = "(not shown)"

// String returns the problem as one line.
func (p Problem) String() string {
	switch {
	case p.Setting == "":
		return fmt.Sprintf("%s: expected %s", p.Branch, p.Expected)
	case p.Value == "":
		return fmt.Sprintf("%s: %s: expected %s", p.Branch, p.Setting, p.Expected)
	default:
		return fmt.Sprintf("%s: %s = %q: expected %s", p.Branch, p.Setting, p.Value, p.Expected)
	}
}

// Problems is everything that makes a tree invalid. Empty: the tree is valid.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sort() {
	slices.SortFunc(p, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Branch, b.Branch),
			cmp.Compare(a.Setting, b.Setting),
			cmp.Compare(a.Value, b.Value),
			cmp.Compare(a.Expected, b.Expected),
		)
	})
}
