package configuration

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"
)

// key returns a made-up key hash in the notation of the settings tree.
func key(n int) string { return fmt.Sprintf("sha256:%064x", n) }

// parseTree parses lines of the form "path: name=value, name=value". A "|" in a
// value stands for a line break in a list.
func parseTree(text string) Tree {
	tree := Tree{Branches: make(map[Path]Settings)}
	for line := range strings.Lines(text) {
		path, settings, ok := strings.Cut(strings.TrimSpace(line), ":")
		if !ok {
			continue
		}
		p := Path(strings.Trim(path, "/"))
		tree.Branches[p] = make(Settings)
		for pair := range strings.SplitSeq(settings, ",") {
			if name, value, ok := strings.Cut(strings.TrimSpace(pair), "="); ok {
				tree.Set(p, name, strings.ReplaceAll(value, "|", "\n"))
			}
		}
	}
	return tree
}

const sample = `
/: domains=north|south
accounts: weight=2
accounts/institutes: rate=20/s, burst=40
accounts/institutes/ntnu: routes=rings
accounts/stations: rate=90/m, burst=5, weight=3
routes/rings: service=lookup, timeout=2s
routes/rings/find: path=/rings, methods=GET
routes/rings/file: path=/rings/new, class=mutation, service=filing
routes/export: path=/, class=batch, service=lookup, open=true, idempotent=false
services: slots=6, floor=25%
services/lookup: servers=10.0.0.1:80|[::1]:81
services/filing: connections=350, cold_ramp=0s, queue=0
`

// largeTree returns a tree of the given size, with 55 servers in a service.
func largeTree(accounts, routes, services int) Tree {
	tree := parseTree("/: domains=a|b|c|d|e|f\naccounts: weight=1")
	for i := range services {
		p := Path(fmt.Sprintf("services/s%03d", i))
		servers := make([]string, 55)
		for j := range servers {
			servers[j] = fmt.Sprintf("10.%d.%d.1:8080", i, j)
		}
		tree.Set(p, "servers", JoinLines(servers))
	}
	for i := range routes {
		p := Path(fmt.Sprintf("routes/area%02d/r%04d", i%40, i))
		tree.Set(p, "path", fmt.Sprintf("/area%02d/route%04d", i%40, i))
		tree.Set(p, "service", fmt.Sprintf("s%03d", i%services))
	}
	for i := range 100 {
		p := Path(fmt.Sprintf("accounts/group%02d", i))
		tree.Set(p, "rate", "20/s")
		tree.Set(p, "burst", "40")
	}
	for i := range accounts {
		p := Path(fmt.Sprintf("accounts/group%02d/customer%05d", i%100, i))
		tree.Set(p, "keys", key(i))
		if i%4 == 0 {
			tree.Set(p, "rate", "50/s")
		}
	}
	return tree
}

// treeGenerator generates random trees, most of which are invalid.
func treeGenerator() *rapid.Generator[Tree] {
	paths := rapid.SampledFrom([]Path{
		"", "accounts", "accounts/a", "accounts/a/b", "accounts/c", "routes", "routes/r", "routes/r/s", "services/s", "other",
	})
	names := rapid.SampledFrom([]string{"rate", "burst", "keys", "servers", "path", "service", "domains", "odd"})
	values := rapid.SampledFrom([]string{"", "1", "20/s", "s", "/p", "a", key(1), key(1) + "\n" + key(2), "h:1\nh:2"})
	branches := rapid.MapOf(paths, rapid.MapOf(names, values))
	return rapid.Custom(func(t *rapid.T) Tree {
		tree := Tree{Branches: make(map[Path]Settings)}
		for p, settings := range branches.Draw(t, "branches") {
			tree.Branches[p] = settings
		}
		return tree
	})
}
