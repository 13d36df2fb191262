package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programs is the folder with the programs, which are built once per run.
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

// TestScenarios runs each script in testdata. The head of a script names the
// guarantee that it tests and the faults that it injects.
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
			"ready":        command(1, "HOST...", (*fleet).waitReady),
			"old":          command(1, "HOST...", (*fleet).waitEvidenceAge),
			"send":         command(2, "SIGNAL NAME", (*fleet).sendSignal),
			"ended":        command(2, "NAME CODE", (*fleet).waitExit),
			"fault":        command(2, "NAME JSON", (*fleet).setFaults),
			"relay":        command(2, "HOST RULES", (*fleet).setRelayRules),
			"grant":        command(2, "VARIABLE ACCOUNT", (*fleet).grantKey),
			"instant":      command(2, "VARIABLE DURATION", (*fleet).setTime),
			"uuid":         command(1, "VARIABLE", (*fleet).setUUID),
			"await":        command(2, "DURATION PROGRAM [ARG...]", (*fleet).retryProgram),
			"expect":       command(4, "FILE FIELD OPERATOR NUMBER", (*fleet).expectNumber),
			"out":          command(3, "SERVER DURATION HOST...", (*fleet).waitEjected),
			"replace":      command(3, "FILE OLD NEW", (*fleet).replaceOnce),
			"planned-stop": command(2, "HOST CALLERS", (*fleet).stopUnderLoad),
			"refused":      command(2, "SETTINGS PATTERN", (*fleet).expectRefused),
			"most":         command(3, "MAX DURATION HOST...", (*fleet).waitOutOfUse),
			"unused":       command(3, "MAX DURATION HOST...", (*fleet).checkOutOfUse),
		},
	})
}

type fleetKey struct{}

// command returns a script command that takes at least count arguments.
func command(count int, usage string, run func(*fleet, *testscript.TestScript, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) < count {
			ts.Fatalf("usage: %s", usage)
		}
		run(ts.Value(fleetKey{}).(*fleet), ts, args)
	}
}
