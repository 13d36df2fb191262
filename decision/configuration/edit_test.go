package configuration

import (
	"maps"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestMerge guards against a concurrent edit that overwrites another, or that is
// rejected although the two do not conflict.
func TestMerge(t *testing.T) {
	const base = "accounts/a: rate=1/s, keys=k1|k2\naccounts/b: rate=1/s"
	cases := []struct{ name, mine, theirs, merged, conflict string }{
		{"other settings", "accounts/a: rate=2/s, keys=k1|k2\naccounts/b: rate=1/s", "accounts/a: rate=1/s, keys=k1|k2, burst=5\naccounts/b: rate=1/s",
			"accounts/a: rate=2/s, keys=k1|k2, burst=5\naccounts/b: rate=1/s", ""},
		{"other branches", base + "\naccounts/c: rate=1/s", "accounts/a: rate=1/s, keys=k1|k2",
			"accounts/a: rate=1/s, keys=k1|k2\naccounts/c: rate=1/s", ""},
		{"same change", "accounts/a: rate=2/s, keys=k1|k2\naccounts/b: rate=1/s", "accounts/a: rate=2/s, keys=k1|k2\naccounts/b: rate=1/s",
			"accounts/a: rate=2/s, keys=k1|k2\naccounts/b: rate=1/s", ""},
		{"keys granted and withdrawn", "accounts/a: rate=1/s, keys=k1|k2|k3\naccounts/b: rate=1/s", "accounts/a: rate=1/s, keys=k2|k4\naccounts/b: rate=1/s",
			"accounts/a: rate=1/s, keys=k2|k4|k3\naccounts/b: rate=1/s", ""},
		{"all keys withdrawn", "accounts/a: rate=1/s, keys=k1\naccounts/b: rate=1/s", "accounts/a: rate=1/s, keys=k2\naccounts/b: rate=1/s",
			"accounts/a: rate=1/s\naccounts/b: rate=1/s", ""},
		{"same setting", "accounts/a: rate=2/s, keys=k1|k2\naccounts/b: rate=1/s", "accounts/a: rate=3/s, keys=k1|k2\naccounts/b: rate=1/s",
			"", `accounts/a rate: base "1/s", mine "2/s", theirs "3/s"`},
		{"removed by me", "accounts/a: rate=1/s, keys=k1|k2", base + ", burst=2",
			"", `accounts/b: base present, mine removed, theirs changed`},
		{"removed by them", base + ", burst=2", "accounts/a: rate=1/s, keys=k1|k2",
			"", `accounts/b: base present, mine changed, theirs removed`},
		{"both added", base + "\naccounts/c: rate=2/s", base + "\naccounts/c: rate=3/s",
			"", `accounts/c rate: base \(absent\), mine "2/s", theirs "3/s"`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			merged, conflicts := Merge(parseTree(base), parseTree(tc.mine), parseTree(tc.theirs))
			if tc.conflict != "" {
				c.Assert(conflicts, qt.HasLen, 1)
				c.Assert(conflicts[0].String(), qt.Matches, tc.conflict)
				return
			}
			c.Assert(conflicts, qt.HasLen, 0)
			c.Assert(Diff(parseTree(tc.merged), merged), qt.HasLen, 0)
		})
	}
}

// TestMergeOfOneEdit guards against a merge that alters an edit without a
// concurrent one, or whose result depends on the order of the edits.
func TestMergeOfOneEdit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, edited := treeGenerator().Draw(t, "base"), treeGenerator().Draw(t, "edited")
		for _, pair := range [][2]Tree{{edited, base}, {base, edited}, {edited, edited}} {
			merged, conflicts := Merge(base, pair[0], pair[1])
			if len(conflicts) > 0 || len(Diff(edited, merged)) > 0 {
				t.Fatalf("conflicts %v, changes %v", conflicts, Diff(edited, merged))
			}
		}
	})
}

// TestMergeOfDisjointEdits guards against a merge of edits of different branches
// that loses a part of one.
func TestMergeOfDisjointEdits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, edited := treeGenerator().Draw(t, "base"), treeGenerator().Draw(t, "edited")
		mine, theirs := base.Clone(), base.Clone()
		for p := range unionKeys(base.Branches, edited.Branches) {
			side := mine
			if rapid.Bool().Draw(t, "theirs") {
				side = theirs
			}
			delete(side.Branches, p)
			if settings, ok := edited.Branches[p]; ok {
				side.Branches[p] = settings
			}
		}
		merged, conflicts := Merge(base, mine, theirs)
		if len(conflicts) > 0 || len(Diff(edited, merged)) > 0 {
			t.Fatalf("conflicts %v, changes %v", conflicts, Diff(edited, merged))
		}
	})
}

// TestSplitAndJoin guards against branches that are lost when a tree is divided
// into shards.
func TestSplitAndJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := treeGenerator().Draw(t, "tree")
		joined, err := Join(Split(tree))
		if err != nil || len(Diff(tree, joined)) > 0 {
			t.Fatalf("error %v, changes %v", err, Diff(tree, joined))
		}
	})
}

// TestBuildOfShardsEqualsCompile guards against a host that compiles shards to
// settings other than those that pollenctl validated.
func TestBuildOfShardsEqualsCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tree := treeGenerator().Draw(t, "tree")
		if rapid.Bool().Draw(t, "valid") {
			tree = largeTree(400, 90, 5)
			tree.Set("routes/area07", "timeout", rapid.SampledFrom([]string{"1s", "2m", "3"}).Draw(t, "timeout"))
		}
		compiler := NewCompiler(1)
		parts := Split(tree)
		for _, isInner := range []bool{true, false} {
			for name, branches := range parts {
				if IsInnerShard(name) == isInner {
					compiler.Add(name, branches)
				}
			}
		}
		got, problems := compiler.Finish()
		want, again := Compile(tree, 1)
		if len(problems) != len(again) || !reflect.DeepEqual(got, want) {
			t.Fatalf("problems\n%v\nand\n%v", problems, again)
		}
	})
}

// TestSplitSizeAndStability guards against shards that are too large for the
// store, and against small edits that change many shards.
func TestSplitSizeAndStability(t *testing.T) {
	c := qt.New(t)
	tree := largeTree(targetAccounts, targetRoutes, targetServices)
	before := Split(tree)
	for name, branches := range before {
		paths := make([]Path, 0, len(branches))
		for p := range branches {
			paths = append(paths, p)
		}
		c.Assert(encodedSize(tree, paths) <= maxShardSize, qt.IsTrue, qt.Commentf("%s", name))
	}
	edited := tree.Clone()
	edited.Set("accounts/group07/customer00007", "keys", key(100_000))
	edited.Set("accounts/group07/new", "keys", key(100_001))
	changed := 0
	after := Split(edited)
	for name := range unionKeys(before, after) {
		if !maps.EqualFunc(before[name], after[name], maps.Equal[Settings, Settings]) {
			changed++
		}
	}
	c.Assert(changed <= 4, qt.IsTrue, qt.Commentf("%d of %d shards changed", changed, len(after)))
}
