package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs is the folder of the three programs, built once a run.
var programs string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "./host/cmd/...", "./standin/cmd/...")
	build.Dir = "../.."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "go build: %v\n%s", err, out)
		return 1
	}
	programs = dir
	return m.Run()
}

// TestScenarios runs each script of testdata. A script names at its top the
// promise that it proves and the faults that it induces.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", programs+string(filepath.ListSeparator)+env.Getenv("PATH"))
			tree, err := os.ReadFile("testdata/tree.toml")
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(env.WorkDir, "tree.toml"), tree, 0o600); err != nil {
				return err
			}
			f := &fleet{dir: env.WorkDir, processes: make(map[string]*process)}
			env.Values[fleetKey{}] = f
			env.Defer(f.killAll)
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"store":        command(0, "", (*fleet).startStore),
			"backend":      command(4, "NAME KIND SERVICE DOMAIN [FLAG...]", (*fleet).startBackend),
			"host":         command(2, "NAME DOMAIN [relay-store] [relay-peer]", (*fleet).startHost),
			"ready":        command(1, "HOST...", (*fleet).ready),
			"old":          command(1, "HOST...", (*fleet).old),
			"send":         command(2, "SIGNAL NAME", (*fleet).send),
			"ended":        command(2, "NAME CODE", (*fleet).ended),
			"fault":        command(2, "NAME JSON", (*fleet).fault),
			"relay":        command(2, "HOST RULES", (*fleet).relay),
			"grant":        command(2, "VARIABLE ACCOUNT", (*fleet).grant),
			"instant":      command(2, "VARIABLE DURATION", (*fleet).instant),
			"uuid":         command(1, "VARIABLE", (*fleet).uuid),
			"await":        command(2, "DURATION PROGRAM [ARG...]", (*fleet).await),
			"expect":       command(4, "FILE FIELD OPERATOR NUMBER", (*fleet).expect),
			"out":          command(3, "SERVER DURATION HOST...", (*fleet).out),
			"replace":      command(3, "FILE OLD NEW", (*fleet).replace),
			"planned-stop": command(2, "HOST CALLERS", (*fleet).stop),
			"refused":      command(2, "SETTINGS PATTERN", (*fleet).refused),
			"most":         command(3, "MAX DURATION HOST...", (*fleet).most),
			"unused":       command(3, "MAX DURATION HOST...", (*fleet).unused),
		},
	})
}

type fleetKey struct{}

// command returns a command of scripts that takes at least count arguments.
func command(count int, usage string, run func(*fleet, *testscript.TestScript, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < count {
			ts.Fatalf("usage: %s", usage)
		}
		run(ts.Value(fleetKey{}).(*fleet), ts, args)
	}
}
