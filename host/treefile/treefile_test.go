package treefile

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"pollensail.dev/decision/configuration"
)

// TestDecodeFaults guards against errors in an operator's file that are missed,
// or reported without the line, the key or the expected value.
func TestDecodeFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"syntax", "domains = [\"a\"]\nrate 5\n", `f.toml:2: .*expected valid TOML.*`},
		{"duplicate branch", "[\"accounts/a\"]\n[\"accounts/a\"]\n", `f.toml:2: .*expected valid TOML.*`},
		{"nested table", "[accounts.a]\nrate = \"1/s\"\n", `f.toml:1: accounts a: expected .* quoted path.*`},
		{"float", "[\"accounts/a\"]\nrate = 1.5\n", `f.toml:2: accounts/a rate: expected a string.*`},
		{"list for one value", "[\"accounts/a\"]\n\nrate = [\"1/s\"]\n", `f.toml:3: accounts/a rate: expected a single value.*`},
		{"line break in a list", "[\"accounts/a\"]\nkeys = [\"a\\nb\"]\n", `f.toml:2: accounts/a keys: expected a list of single-line strings`},
		{"base", "base_version = \"x\"\n", `f.toml:1: base_version: expected a version number`},
		{"outside the subtree", "subtree = \"routes\"\n[\"accounts/a\"]\n", `f.toml:2: accounts/a: expected a branch at or below.*`},
		{"every fault", "base_version = -1\n[\"accounts/a\"]\nrate = 1.5\n", `(?s)f.toml:1: .*\nf.toml:3: .*`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Decode("f.toml", []byte(tc.text))
			c.Assert(err, qt.ErrorMatches, tc.want)
		})
	}
}

// TestLocate guards against validation problems that are reported without the
// line in the file.
func TestLocate(t *testing.T) {
	c := qt.New(t)
	text := "domains = [\"a\"]\n\n[\"accounts/a\"]\nrate = \"1/s\"\nburst = 0\n"
	f, err := Decode("f.toml", []byte(text))
	c.Assert(err, qt.IsNil)
	err = f.LocateProblems("f.toml", configuration.Validate(f.Tree))
	c.Assert(err, qt.ErrorMatches, `f.toml:5: accounts/a burst = "0": expected a whole number of requests, at least 1`)
}

// TestRoundTrip guards against changing the tree by encoding it to a file and
// applying that file unedited.
func TestRoundTrip(t *testing.T) {
	names := rapid.SampledFrom([]string{"rate", "keys", "servers", "routes", "other", "odd name", "a=b"})
	values := rapid.OneOf(
		rapid.SampledFrom([]string{"", "5", "05", "true", "a\nb", "a\n\nb", "\n", `"`, "20/s"}),
		rapid.StringMatching(`[ -~\n]{0,12}`),
		rapid.StringMatching(`([ -~]{1,50}\n){3}[ -~]{1,50}`),
	)
	paths := rapid.SampledFrom([]configuration.Path{"accounts", "accounts/a", "routes/x.y", "services/s", "odd/ [path]"})
	rapid.Check(t, func(t *rapid.T) {
		branches := rapid.MapOf(paths, rapid.MapOf(names, values)).Draw(t, "branches")
		f := File{BaseVersion: rapid.Uint64Range(0, 1<<62).Draw(t, "base")}
		f.Tree.Branches = make(map[configuration.Path]configuration.Settings)
		for p, settings := range branches {
			f.Tree.Branches[p] = settings
		}
		text, err := Encode(f)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode("f.toml", text)
		if err != nil {
			t.Fatalf("%v\n%s", err, text)
		}
		changes := configuration.Diff(f.Tree, decoded.Tree)
		if len(changes) > 0 || decoded.BaseVersion != f.BaseVersion {
			t.Fatalf("changed: %v\n%s", changes, text)
		}
	})
}

// FuzzDecode guards against a file that makes the decoder panic, or that decodes
// to a tree that does not survive encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add("domains = [\"a\"]\nslots_per_domain = 4\n[\"accounts/a\"]\nrate = \"1/s\"\n")
	f.Add("subtree = \"routes\"\n[\"routes/a\"]\nopen = true\n")
	f.Fuzz(func(t *testing.T, text string) {
		file, err := Decode("f.toml", []byte(text))
		if err != nil {
			return
		}
		again, err := Encode(file)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		decoded, err := Decode("f.toml", again)
		if err != nil {
			t.Fatalf("decode again: %v\n%s", err, again)
		}
		if changes := configuration.Diff(file.Tree, decoded.Tree); len(changes) > 0 {
			t.Fatalf("changed: %v\n%s", changes, strings.ToValidUTF8(text, "?"))
		}
	})
}
