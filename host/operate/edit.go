package operate

import (
	"maps"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/treefile"
)

// Assignment sets or unsets one setting of a branch.
type Assignment struct {
	Name  string
	Value string
	Unset bool
}

// ParseAssignment parses "name=value". The elements of a list are separated
// by commas.
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

// Assign returns a copy of the tree with the assignments applied to a branch,
// which is created if it does not exist.
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

// RemoveBranch returns a copy of the tree without a branch and its
// descendants. It returns an error if the branch does not exist.
func RemoveBranch(tree configuration.Tree, p configuration.Path) (configuration.Tree, error) {
	remaining := tree.Clone()
	maps.DeleteFunc(remaining.Branches, func(q configuration.Path, _ configuration.Settings) bool {
		return q.IsWithin(p)
	})
	if len(remaining.Branches) == len(tree.Branches) {
		return tree, merry.Errorf("there is no branch %s", p)
	}
	return remaining, nil
}

// Subtree returns a tree of only the branch p and its descendants. It shares
// the settings with the given tree.
func Subtree(tree configuration.Tree, p configuration.Path) configuration.Tree {
	subtree := configuration.Tree{Branches: make(map[configuration.Path]configuration.Settings)}
	for q, settings := range tree.Branches {
		if q.IsWithin(p) {
			subtree.Branches[q] = settings
		}
	}
	return subtree
}

// ExpandFile returns the complete tree that results from applying a file to
// base: the file's own tree, or, if the file covers a subtree only, base with
// that subtree replaced.
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

// ParsePath parses a branch path from the command line. Leading and trailing
// slashes are ignored; "/" is the root.
func ParsePath(text string) configuration.Path {
	return configuration.Path(strings.Trim(text, "/"))
}

// appendListValue adds an element to a list setting, whose elements are the
// lines of its value.
func appendListValue(value, element string) string {
	return configuration.JoinLines(append(configuration.Lines(value), element))
}

// removeListValue removes an element from a list setting. It returns false if
// the list has no such element.
func removeListValue(value, element string) (string, bool) {
	elements := configuration.Lines(value)
	i := slices.Index(elements, element)
	if i < 0 {
		return value, false
	}
	return configuration.JoinLines(slices.Delete(elements, i, i+1)), true
}
