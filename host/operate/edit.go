package operate

import (
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/treefile"
)

// Assignment sets or removes one setting of a branch.
type Assignment struct {
	Name  string
	Value string
	Unset bool
}

// ParseAssignment parses "name=value". Values of a list are separated by
// commas.
func ParseAssignment(p configuration.Path, text string) (Assignment, error) {
	name, value, ok := strings.Cut(text, "=")
	if !ok || name == "" {
		return Assignment{}, merry.Errorf("%q: expected name=value", text)
	}
	if d, ok := configuration.Lookup(p, name); ok && d.List {
		value = configuration.JoinLines(strings.Split(value, ","))
	}
	return Assignment{Name: name, Value: value}, nil
}

// Assign returns the tree with the assignments made at a branch, which is
// added if there is none.
func Assign(tree configuration.Tree, p configuration.Path, assignments []Assignment) configuration.Tree {
	tree = tree.Clone()
	if tree.Branches[p] == nil {
		tree.Branches[p] = make(configuration.Settings)
	}
	for _, a := range assignments {
		if a.Unset {
			delete(tree.Branches[p], a.Name)
			continue
		}
		tree.Set(p, a.Name, a.Value)
	}
	return tree
}

// RemoveBranch returns the tree without a branch and all below it. It fails where
// there is none.
func RemoveBranch(tree configuration.Tree, p configuration.Path) (configuration.Tree, error) {
	kept := tree.Clone()
	maps.DeleteFunc(kept.Branches, func(q configuration.Path, _ configuration.Settings) bool {
		return q.IsWithin(p)
	})
	if len(kept.Branches) == len(tree.Branches) {
		return tree, merry.Errorf("there is no branch %s", p)
	}
	return kept, nil
}

// Subtree returns the branch and all below it.
func Subtree(tree configuration.Tree, p configuration.Path) configuration.Tree {
	part := configuration.Tree{Branches: make(map[configuration.Path]configuration.Settings)}
	for q, settings := range tree.Branches {
		if q.IsWithin(p) {
			part.Branches[q] = settings
		}
	}
	return part
}

// ExpandFile returns the whole tree that a file stands for: its own, or base
// with the file's subtree replaced.
func ExpandFile(base configuration.Tree, f treefile.File) configuration.Tree {
	if f.Subtree == "" {
		return f.Tree
	}
	tree := base.Clone()
	maps.DeleteFunc(tree.Branches, func(q configuration.Path, _ configuration.Settings) bool {
		return q.IsWithin(f.Subtree)
	})
	maps.Copy(tree.Branches, f.Tree.Branches)
	return tree
}

// ParsePath returns the path of a branch as an operator writes it. "/" is the
// root.
func ParsePath(text string) configuration.Path {
	return configuration.Path(strings.Trim(text, "/"))
}

// appendListValue returns the value of a list with one more line.
func appendListValue(value, line string) string {
	return configuration.JoinLines(append(configuration.Lines(value), line))
}

// removeListValue reports false where the value has no such line.
func removeListValue(value, line string) (string, bool) {
	lines := configuration.Lines(value)
	i := slices.Index(lines, line)
	if i < 0 {
		return value, false
	}
	return configuration.JoinLines(slices.Delete(lines, i, i+1)), true
}
