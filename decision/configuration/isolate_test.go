package configuration

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// isolatingTree returns a tree of routes, accounts and services in which invalid
// objects are isolated.
func isolatingTree(objects int) Tree {
	tree := largeTree(objects, objects, 5)
	tree.Set("", "invalid_objects", "isolate")
	return tree
}

// TestInheritedProblemRejectsVersion guards against a version that is in force while
// a setting is invalid that all objects below a branch inherit.
func TestInheritedProblemRejectsVersion(t *testing.T) {
	for _, p := range []Path{"", TopAccounts, TopRoutes, TopServices} {
		tree := isolatingTree(10)
		tree.Set(p, "unknown", "1")
		s, problems := Compile(tree, 1)
		qt.Check(t, s, qt.IsNil)
		qt.Check(t, problems, qt.Not(qt.HasLen), 0)
	}
}

// TestInvalidObjectsAreRejectedByDefault guards against a version that comes into
// force in part where its store accepts any.
func TestInvalidObjectsAreRejectedByDefault(t *testing.T) {
	tree := isolatingTree(10)
	tree.Set("", "invalid_objects", "reject")
	tree.Set("routes/area00/r0000", "timeout", "soon")
	s, problems := Compile(tree, 1)
	qt.Check(t, s, qt.IsNil)
	qt.Check(t, problems, qt.HasLen, 1)
}

// TestIsolationIsTheSameOnEveryHost guards against hosts that disagree on which
// objects are unusable, because one compiled an edit incrementally and another the
// whole tree.
func TestIsolationIsTheSameOnEveryHost(t *testing.T) {
	const objects = 90
	before := isolatingTree(objects)
	old, problems := Compile(before, 1)
	qt.Assert(t, problems, qt.HasLen, 0)
	untouched, _ := Compile(before, 1)
	rapid.Check(t, func(t *rapid.T) {
		after := before.Clone()
		for range rapid.IntRange(1, 5).Draw(t, "edits") {
			n, m := rapid.IntRange(0, objects-1).Draw(t, "object"), rapid.IntRange(0, objects-1).Draw(t, "other")
			account := Path(fmt.Sprintf("accounts/group%02d/customer%05d", n%100, n))
			other := Path(fmt.Sprintf("accounts/group%02d/customer%05d", m%100, m))
			route := Path(fmt.Sprintf("routes/area%02d/r%04d", n%40, n))
			conflicting := Path(fmt.Sprintf("routes/area%02d/r%04d", m%40, m))
			switch rapid.IntRange(0, 4).Draw(t, "edit") {
			case 0:
				after.Set(account, "keys", after.Branches[other]["keys"])
			case 1:
				after.Set(route, "path", after.Branches[conflicting]["path"])
			case 2:
				after.Set(route, "timeout", "soon")
			case 3:
				after.Set(account, "burst", "none")
			case 4:
				after.Set(route, "service", "missing")
			}
		}
		want, wantProblems := Compile(after, 2)
		got, gotProblems, ok := rebuild(old, before, after)
		if !ok {
			return
		}
		if want == nil || len(wantProblems) > 0 && want.CanBeBase() {
			t.Fatalf("snapshot %v with %d problems", want, len(wantProblems))
		}
		if len(gotProblems) == 0 != (len(wantProblems) == 0) || !cmp.Equal(got, want, sameSnapshot) {
			t.Fatalf("incremental: %v\nwhole: %v\n%s", gotProblems, wantProblems, cmp.Diff(got, want, sameSnapshot))
		}
	})
	qt.Assert(t, cmp.Equal(old, untouched, sameSnapshot), qt.IsTrue)
}
