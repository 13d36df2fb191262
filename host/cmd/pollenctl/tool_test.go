package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/operate"
	"pollensail.dev/host/store"
	"pollensail.dev/host/telemetry"
)

// memory is a store in memory.
type memory struct {
	mu      sync.Mutex
	values  map[string][]byte
	version map[string]uint64
	hosts   []model.HostEntry
}

func (m *memory) Get(_ context.Context, key string) ([]byte, uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.values[key], m.version[key], nil
}

func (m *memory) CompareAndSwap(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version[key] != version {
		return 0, store.ErrConflict
	}
	m.values[key] = value
	m.version[key]++
	return m.version[key], nil
}

func (m *memory) HostList(context.Context) ([]model.HostEntry, error) { return m.hosts, nil }

// terminal runs commands against one store.
type terminal struct {
	c   *qt.C
	m   *memory
	dir string
}

func newTerminal(t *testing.T) *terminal {
	m := &memory{values: make(map[string][]byte), version: make(map[string]uint64)}
	return &terminal{qt.New(t), m, t.TempDir()}
}

func (r *terminal) run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	t := tool{
		out:       &stdout,
		errOut:    &stderr,
		in:        strings.NewReader(""),
		openStore: func(string) operate.Store { return r.m },
	}
	code = t.run(context.Background(), append(args, "--store", "memory", "--author", "ann"))
	return code, stdout.String(), stderr.String()
}

// must runs a command that succeeds and returns its output.
func (r *terminal) must(args ...string) string {
	code, out, errOut := r.run(args...)
	r.c.Assert(code, qt.Equals, exitDone, qt.Commentf("%v: %s", args, errOut))
	return out
}

// fails runs a command that ends with the code and a matching message.
func (r *terminal) fails(want int, message string, args ...string) {
	code, _, errOut := r.run(args...)
	r.c.Assert(code, qt.Equals, want, qt.Commentf("%v: %s", args, errOut))
	r.c.Assert(errOut, qt.Matches, "(?s)pollenctl: "+message+"\n")
}

// file writes a file and returns its name.
func (r *terminal) file(name, text string) string {
	path := filepath.Join(r.dir, name)
	r.c.Assert(os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	return path
}

const tree = `
domains = ["north"]
["accounts/ntnu"]
rate = "20/s"
burst = 40
["accounts/uio"]
rate = "20/s"
burst = 40
["routes/rings"]
path = "/rings"
service = "lookup"
["services/lookup"]
`

// TestExitCodes guards against scripts that take a refused command for a
// success, and a typing error for a refusal.
func TestExitCodes(t *testing.T) {
	r := newTerminal(t)
	valid := r.file("valid.toml", tree)
	invalid := r.file("invalid.toml", strings.Replace(tree, "burst = 40", "burst = 0", 1))
	r.must("tree", "apply", valid)
	r.must("help")
	r.c.Assert(r.must("help", "settings"), qt.Matches, `(?s).*\naccount\n.*  burst .*at least 1 \(required\)\n.*`)
	r.must("check", valid)
	r.must("completion", "bash")
	r.must("tree", "set", "/", "domains=north,south")
	r.fails(exitNotDone, `.*invalid.toml:5: accounts/ntnu burst = "0": expected a whole number.*`, "check", invalid)
	r.fails(exitNotDone, `.*invalid.toml:5: accounts/ntnu burst = "0": expected a whole number.*`, "tree", "apply", invalid)
	r.fails(exitNotDone, `.*invalid.toml:5: accounts/ntnu burst = "0": expected a whole number.*`, "tree", "diff", invalid)
	r.fails(exitNotDone, `.*bad.toml:1: .*expected valid TOML.*`, "check", r.file("bad.toml", "rate 5"))
	r.fails(exitNotDone, `routes/rings: service = "none": expected.*`, "tree", "set", "routes/rings", "service=none")
	r.fails(exitNotDone, `there is no branch accounts/none`, "tree", "get", "accounts/none")
	r.fails(exitNotDone, `there is no account none.*`, "key", "grant", "none")
	r.fails(exitNotDone, `.*version 9.*`, "tree", "get", "--version", "9")
	r.fails(exitUsage, `.*no such file.*`, "check", filepath.Join(r.dir, "none.toml"))
	r.fails(exitUsage, `"rate": expected name=value`, "tree", "set", "accounts/ntnu", "rate")
	r.fails(exitUsage, `expected either FILE or --version`, "tree", "apply")
	r.fails(exitUsage, `--output "xml": expected text or json`, "tree", "get", "--output", "xml")
	r.fails(exitUsage, `unknown command.*`, "tree", "bogus")
	r.fails(exitUsage, `unknown flag.*`, "status", "--bogus")
	r.fails(exitUsage, `accepts 1 arg.*`, "key", "grant")
}

// TestEditInTwoSteps guards against an edited file that overwrites what
// others changed since, or that is lost when it is refused.
func TestEditInTwoSteps(t *testing.T) {
	r := newTerminal(t)
	r.must("tree", "apply", r.file("tree.toml", tree))
	name := filepath.Join(r.dir, "edit.toml")
	r.must("tree", "edit", "accounts/ntnu", "--out", name)
	r.fails(exitUsage, `.*file exists.*`, "tree", "edit", "--out", name)
	text, err := os.ReadFile(name)
	r.c.Assert(err, qt.IsNil)
	edited := strings.Replace(string(text), `"20/s"`, `"30/s"`, 1)
	r.c.Assert(edited, qt.Not(qt.Equals), string(text))
	r.must("tree", "set", "accounts/ntnu", "burst=50")
	r.c.Assert(r.must("tree", "diff", r.file("edit.toml", edited)), qt.Equals, "changed accounts/ntnu rate = \"20/s\" to \"30/s\"\n")
	r.c.Assert(r.must("tree", "edit", "--file", name), qt.Matches, `(?s).*merged with versions \[2\]\nversion 3\n`)
	r.c.Assert(r.must("tree", "get", "accounts/ntnu"), qt.Equals,
		"base_version = 3\nsubtree = \"accounts/ntnu\"\n\n[\"accounts/ntnu\"]\nburst = 50\nrate = \"30/s\"\n")
	conflict := strings.Replace(string(text), `"20/s"`, `"35/s"`, 1)
	r.fails(exitNotDone, `.*base "20/s", mine "35/s", theirs "30/s".*`, "tree", "edit", "--file", r.file("conflict.toml", conflict))
	r.fails(exitUsage, `.*expected base_version.*`, "tree", "edit", "--file", filepath.Join(r.dir, "tree.toml"))
	r.must("tree", "apply", "--version", "1")
	r.c.Assert(r.must("tree", "diff", filepath.Join(r.dir, "tree.toml")), qt.Equals, "")
}

// TestJSON guards against output that scripts cannot read.
func TestJSON(t *testing.T) {
	r := newTerminal(t)
	read := func(into any, args ...string) {
		r.c.Assert(json.Unmarshal([]byte(r.must(append(args, "--output", "json")...)), into), qt.IsNil)
	}
	var result resultJSON
	read(&result, "tree", "apply", r.file("tree.toml", tree))
	r.c.Assert(result.Version, qt.Equals, uint64(1))
	var check checkJSON
	invalid := r.file("invalid.toml", strings.Replace(tree, "burst = 40", "burst = 0", 1))
	code, out, _ := r.run("check", invalid, "--output", "json")
	r.c.Assert(code, qt.Equals, exitNotDone)
	r.c.Assert(json.Unmarshal([]byte(out), &check), qt.IsNil)
	r.c.Assert(check.Faults, qt.HasLen, 1)
	r.c.Assert(check.Faults[0].Line, qt.Equals, 5)
	var grant grantJSON
	read(&grant, "key", "grant", "ntnu")
	r.c.Assert(grant.Hash, qt.Equals, operate.HashKey(grant.Key))
	var got treeJSON
	read(&got, "tree", "get", "accounts/ntnu")
	r.c.Assert(got.Branches["accounts/ntnu"]["keys"], qt.Equals, grant.Hash)
	var values []effectiveJSON
	read(&values, "tree", "get", "accounts/ntnu", "--effective")
	r.c.Assert(*values[0].From, qt.Equals, "accounts/ntnu")
	read(&result, "key", "withdraw", "ntnu", grant.Key)
	r.c.Assert(result.Version, qt.Equals, uint64(3))
	var history []historyJSON
	read(&history, "tree", "history", "--limit", "2")
	r.c.Assert(history, qt.HasLen, 2)
	r.c.Assert(history[0].Note, qt.Equals, "withdraw a key of ntnu")
}

// TestRollbackKeepsKeys guards against an earlier version that makes withdrawn
// keys valid again, or granted ones invalid.
func TestRollbackKeepsKeys(t *testing.T) {
	r := newTerminal(t)
	r.must("tree", "apply", r.file("tree.toml", tree))
	withdrawn := strings.TrimSpace(r.must("key", "grant", "ntnu"))
	r.must("key", "withdraw", "ntnu", withdrawn)
	granted := strings.TrimSpace(r.must("key", "grant", "uio"))
	r.must("tree", "set", "accounts/ntnu", "rate=1/s")
	r.must("tree", "apply", "--version", "2")
	text := r.must("tree", "get")
	r.c.Assert(text, qt.Not(qt.Contains), operate.HashKey(withdrawn))
	r.c.Assert(text, qt.Contains, operate.HashKey(granted))
	r.c.Assert(text, qt.Not(qt.Contains), "1/s")
}

// TestStatus guards against a host that is left out because it does not
// answer, and against a wait that ends before all hosts have the version.
func TestStatus(t *testing.T) {
	r := newTerminal(t)
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		json.NewEncoder(w).Encode(telemetry.Status{
			Host: "a", Domain: "north", Version: 7, Ready: true, Authority: "connected",
			Slots:    []telemetry.SlotStatus{{Domain: "north", Index: 2}},
			Servers:  []telemetry.ServerStatus{{Service: "lookup", Server: "10.0.0.1:80", State: "ejected"}},
			Refusals: []telemetry.RefusalCount{{Account: "ntnu", Reason: "over_rate", Count: 3}},
		})
	}))
	defer host.Close()
	address := host.Listener.Addr().String()
	r.m.hosts = []model.HostEntry{
		{ID: "b", Role: model.RoleEntry, Leaving: true},
		{ID: "a", Role: model.RoleEntry, Operator: address},
		{ID: "10.0.0.1:80", Role: model.RoleBackend},
	}
	out := r.must("status", "--wait", "7")
	r.c.Assert(out, qt.Matches, `(?s)HOST .*\na +north +7 +true +connected +0  north/2
  server 10.0.0.1:80 of lookup: ejected
  refused ntnu: over_rate 3
b +unreachable: .*`)
	r.fails(exitNotDone, `version 8 is not in force at every listed host`, "status", "--wait", "8", "--timeout", "400ms")
	r.m.hosts[0].Leaving = false
	r.fails(exitNotDone, `version 7 is not .*`, "status", "--wait", "7", "--timeout", "400ms")
}

// TestExplain guards against an explanation from logs that lack the request, and
// against logs that cannot be read passing for empty ones.
func TestExplain(t *testing.T) {
	r := newTerminal(t)
	log := r.file("n1.log", `{"time":"2026-04-30T18:00:05Z","request":"abc","result":"failed","message":"request"}`+"\n")
	out := r.must("explain", "abc", log)
	r.c.Check(out, qt.Contains, "request: 1 lines")
	r.c.Check(out, qt.Contains, `"request":"abc"`)
	r.fails(exitNotDone, "xyz: no line of the logs has this request.*", "explain", "xyz", log)
	code, _, _ := r.run("explain", "abc", "missing.log")
	r.c.Check(code, qt.Not(qt.Equals), exitDone)
}
