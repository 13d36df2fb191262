package configuration

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one reason why a tree is invalid.
type Problem struct {
	Branch   Path
	Setting  string // empty if the branch itself is invalid
	Value    string // empty if there is none
	Expected string // description of what would be valid
}

// secretPlaceholder replaces a secret value in messages.
const secretPlaceholder = "(not shown)"

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

// Problems lists all reasons why a tree is invalid. It is empty for a valid tree.
type Problems []Problem

// Error returns the problems, one per line.
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
