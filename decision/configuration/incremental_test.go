package configuration

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// rootOf returns a root that has the printed content of the shards as hashes.
func rootOf(version uint64, parts ShardContents) Root {
	root := Root{Version: version}
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		root.Shards = append(root.Shards, ShardRef{Name: name, Hash: fmt.Sprint(parts[name])})
	}
	return root
}

// rebuild applies the changed shards of an edit to a snapshot. It returns false
// if the edit cannot be compiled incrementally.
func rebuild(old *Snapshot, before, after Tree) (*Snapshot, Problems, bool) {
	parts := Split(after)
	oldRoot, newRoot := rootOf(old.Version, Split(before)), rootOf(old.Version+1, parts)
	if !CanCompileIncrementally(oldRoot, newRoot) {
		return nil, nil, false
	}
	compiler := NewIncrementalCompiler(old, oldRoot, newRoot)
	for _, ref := range ChangedShards(oldRoot, newRoot) {
		compiler.Add(ref.Name, parts[ref.Name])
	}
	snapshot, problems := compiler.Finish()
	return snapshot, problems, true
}

var sameSnapshot = cmp.Options{cmp.AllowUnexported(Snapshot{}, routeIndex{}), cmpopts.EquateEmpty()}

// TestRebuildEqualsCompile guards against a host that applied an edit
// incrementally and serves by other settings than a host that started after it.
func TestRebuildEqualsCompile(t *testing.T) {
	before := largeTree(400, 90, 5)
	old, _ := Compile(before, 1)
	untouched, _ := Compile(before, 1)
	rebuilt := 0
	rapid.Check(t, func(t *rapid.T) {
		after := before.Clone()
		for range rapid.IntRange(1, 6).Draw(t, "edits") {
			n := rapid.IntRange(0, 89).Draw(t, "object")
			account := Path(fmt.Sprintf("accounts/group%02d/customer%05d", n%100, n))
			route := Path(fmt.Sprintf("routes/area%02d/r%04d", n%40, n))
			switch rapid.IntRange(0, 6).Draw(t, "edit") {
			case 0:
				after.Set(account, "keys", key(rapid.IntRange(300, 500).Draw(t, "key")))
			case 1:
				delete(after.Branches, account)
			case 2:
				after.Set(route, "path", fmt.Sprintf("/new%d", n))
			case 3:
				delete(after.Branches, route)
			case 4:
				after.Set("accounts/group01/more"+Path(fmt.Sprint(n)), "routes", "area01")
			case 5:
				after.Set(Path(fmt.Sprintf("services/s%03d", n%5)), "slots", "9")
			case 6:
				after.Set("accounts/group00", "burst", "7")
			}
		}
		want, problems := Compile(after, 2)
		got, again, ok := rebuild(old, before, after)
		if !ok {
			return
		}
		rebuilt++
		if (len(problems) > 0) != (len(again) > 0) || !reflect.DeepEqual(want, got) {
			t.Fatalf("problems %v and %v\n%s", problems, again, cmp.Diff(want, got, sameSnapshot))
		}
		if !reflect.DeepEqual(old, untouched) {
			t.Fatal("the old snapshot changed")
		}
	})
	qt.Assert(t, rebuilt > 0, qt.IsTrue)
}

// TestMisplacedBranches guards against a shard, written by another tool, that
// holds branches of other shards, which would make hosts serve different settings.
func TestMisplacedBranches(t *testing.T) {
	cases := []struct{ name, shard, tree, want string }{
		{"unknown shard", "all", "services/x:", `(?s).*services/x: expected a branch in the shard.*`},
		{"wrong bucket", "services-0000000000000000", "services/x:", `(?s).*services/x: expected a branch in the shard.*`},
		{"object above an object", "services", "services/x:\nservices/x/y:", `(?s).*services/x: expected no branches below an object.*`},
		{"top branch as an object", "services", "services:", `(?s).*services: expected an object.*`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			compiler := NewCompiler(1)
			compiler.Add(tc.shard, parseTree(tc.tree).Branches)
			_, problems := compiler.Finish()
			qt.Assert(t, problems, qt.ErrorMatches, tc.want)
		})
	}
}
