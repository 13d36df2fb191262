package treefile

import (
	"pollensail.dev/decision/configuration"
)

// The top-level keys that are metadata of the file and not settings of the root.
const (
	keyBase    = "base_version"
	keySubtree = "subtree"
)

// File is the content of a tree file.
type File struct {
	// BaseVersion is the version of the tree that the file was written from, or
	// 0 if unknown.
	BaseVersion uint64
	// Subtree is the branch that the file is limited to, with its descendants.
	// If it is empty, the file holds the whole tree.
	Subtree configuration.Path
	Tree    configuration.Tree
	lines   lineIndex
}

// Line returns the line of a setting, or the line of the branch's table header
// if the file does not have the setting, or 0 if it has neither.
func (f File) Line(p configuration.Path, setting string) int {
	if line, ok := f.lines[lineKey{p, setting}]; ok {
		return line
	}
	return f.lines[lineKey{p, ""}]
}
