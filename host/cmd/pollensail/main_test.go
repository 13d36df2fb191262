package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// asCommand makes the test binary run the command itself.
const asCommand = "POLLENSAIL_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(asCommand) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// start runs the command with a settings file. Its output is a line at a time.
func start(c *qt.C, text string) (*exec.Cmd, *bufio.Scanner) {
	file := filepath.Join(c.TempDir(), "host.toml")
	c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	cmd := exec.Command(os.Args[0], "--settings", file)
	cmd.Env = append(os.Environ(), asCommand+"=1")
	output, err := cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	cmd.Stderr = cmd.Stdout // errors of the command line, beside the log
	c.Assert(cmd.Start(), qt.IsNil)
	// A command that does not end is killed, and then its exit code is wrong.
	timer := time.AfterFunc(20*time.Second, func() { cmd.Process.Kill() })
	c.Cleanup(func() { timer.Stop() })
	return cmd, bufio.NewScanner(output)
}

func awaitLine(c *qt.C, lines *bufio.Scanner, text string) {
	for lines.Scan() {
		if strings.Contains(lines.Text(), text) {
			return
		}
	}
	c.Fatalf("the command ended without %q", text)
}

const whole = `host = "h1"
domain = "a"
listen = {caller = "127.0.0.1:0", peer = "127.0.0.1:0", operator = "127.0.0.1:0"}
store = {address = "127.0.0.1:1"}
tls = {insecure = true}
stop = {balancer_delay = "1h"}
`

// TestSecondSignal guards against a process that a second signal cannot end
// while its planned stop waits, and against an exit code that hides it. The
// store does not answer, which the log has to say.
func TestSecondSignal(t *testing.T) {
	c := qt.New(t)
	cmd, lines := start(c, whole)
	awaitLine(c, lines, "connection refused\",\"message\":\"host list cannot be read")
	c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	awaitLine(c, lines, "planned stop begins")
	c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	awaitLine(c, lines, "ended before the planned stop was complete")
	_ = cmd.Wait() // the exit code is checked
	c.Assert(cmd.ProcessState.ExitCode(), qt.Equals, 1)
}

// TestHangup guards against a process that SIGHUP ends, and against settings
// that are put into force though they cannot be used.
func TestHangup(t *testing.T) {
	c := qt.New(t)
	cmd, lines := start(c, whole)
	file := cmd.Args[2]
	awaitLine(c, lines, "host started")
	for _, tc := range []struct{ text, want string }{
		{strings.Replace(whole, `"1h"`, `"2h"`, 1), `"changed":"stop","need_start":"","message":"settings reloaded"`},
		{strings.Replace(whole, `"127.0.0.1:1"`, `"127.0.0.1:2"`, 1), `"need_start":"store","message":"settings reloaded"`},
		{"host = 1", "settings cannot be used; those in force stay"},
		{whole, "settings reloaded"},
	} {
		c.Assert(os.WriteFile(file, []byte(tc.text), 0o600), qt.IsNil)
		c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
		awaitLine(c, lines, tc.want)
	}
	c.Assert(cmd.Process.Kill(), qt.IsNil)
	_ = cmd.Wait() // it was killed
}

// TestUnusableSettings guards against settings that cannot be used and do not
// end the start with exit code 2, the file and the key.
func TestUnusableSettings(t *testing.T) {
	c := qt.New(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer taken.Close()
	for _, tc := range []struct{ old, new, want string }{
		{"insecure = true", `certificate = "none", key = "none", authority = "none"`, "host.toml: tls.certificate none"},
		{`operator = "127.0.0.1:0"`, fmt.Sprintf("operator = %q", taken.Addr()), "host.toml: listen.operator: "},
	} {
		cmd, lines := start(c, strings.Replace(whole, tc.old, tc.new, 1))
		awaitLine(c, lines, tc.want)
		_ = cmd.Wait() // the exit code is checked
		c.Check(cmd.ProcessState.ExitCode(), qt.Equals, 2, qt.Commentf("%s", tc.want))
	}
}
