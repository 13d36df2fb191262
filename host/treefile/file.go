package treefile

import (
	"pollensail.dev/decision/configuration"
)

// The keys at the top of a file that are not settings of the root.
const (
	keyBase    = "base_version"
	keySubtree = "subtree"
)

// File is the content of a tree file.
type File struct {
	// Base is the version that the file was made from. 0: unknown.
	Base uint64
	// Subtree is the branch that the file covers with all below it. Empty:
	// the whole tree.
	Subtree configuration.Path
	Tree    configuration.Tree
	lines   lineIndex
}

// Line returns the line at which the file sets a setting, or else at which
// the branch begins. It returns 0 where the file has neither.
func (f File) Line(p configuration.Path, setting string) int {
	if line, ok := f.lines[place{p, setting}]; ok {
		return line
	}
	return f.lines[place{p, ""}]
}
