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

// runMainVariable is the environment variable that makes the test binary run the
// command instead of the tests.
const runMainVariable = "POLLENSAIL_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// start runs the command with the given settings and returns a line scanner of
// its output.
func start(c *qt.C, text string) (*exec.Cmd, *bufio.Scanner) {
	file := filepath.Join(c.TempDir(), "host.toml")
	c.Assert(os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	cmd := exec.Command(os.Args[0], "--settings", file)
	cmd.Env = append(os.Environ(), runMainVariable+"=1")
	output, err := cmd.StdoutPipe()
	c.Assert(err, qt.IsNil)
	cmd.Stderr = cmd.Stdout // errors of the command line, beside the log
	c.Assert(cmd.Start(), qt.IsNil)
	// A command that hangs is killed, which fails the check of its exit code.
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

const validSettings = `host = "h1"
domain = "a"
listen = {caller = "127.0.0.1:0", peer = "127.0.0.1:0", operator = "127.0.0.1:0"}
store = {address = "127.0.0.1:1"}
tls = {insecure = true}
stop = {balancer_delay = "1h"}
`

// TestSecondSignal guards against a second SIGTERM that cuts off the requests of a
// planned stop, against a SIGINT that does not end the process while its planned
// stop is waiting, and against an exit code that hides that the stop was incomplete.
// The store is unreachable, and the log must show it.
func TestSecondSignal(t *testing.T) {
	c := qt.New(t)
	cmd, lines := start(c, validSettings)
	awaitLine(c, lines, "connection refused\",\"message\":\"host list cannot be read")
	c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	awaitLine(c, lines, "planned stop begins")
	for range 3 {
		c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
		time.Sleep(100 * time.Millisecond)
	}
	c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
	awaitLine(c, lines, "settings reloaded")
	c.Assert(cmd.Process.Signal(syscall.SIGINT), qt.IsNil)
	awaitLine(c, lines, "ended before the planned stop was complete")
	_ = cmd.Wait() // the exit code is checked
	c.Assert(cmd.ProcessState.ExitCode(), qt.Equals, 1)
}

// TestHangup guards against SIGHUP ending the process, and against putting
// invalid settings into force.
func TestHangup(t *testing.T) {
	c := qt.New(t)
	cmd, lines := start(c, validSettings)
	file := cmd.Args[2]
	awaitLine(c, lines, "host started")
	for _, tc := range []struct{ text, want string }{
		{strings.Replace(validSettings, `"1h"`, `"2h"`, 1), `"changed":"stop","need_start":"","message":"settings reloaded"`},
		{strings.Replace(validSettings, `"127.0.0.1:1"`, `"127.0.0.1:2"`, 1), `"need_start":"store","message":"settings reloaded"`},
		{"host = 1", "settings cannot be used; those in force stay"},
		{validSettings, "settings reloaded"},
	} {
		c.Assert(os.WriteFile(file, []byte(tc.text), 0o600), qt.IsNil)
		c.Assert(cmd.Process.Signal(syscall.SIGHUP), qt.IsNil)
		awaitLine(c, lines, tc.want)
	}
	c.Assert(cmd.Process.Kill(), qt.IsNil)
	_ = cmd.Wait() // it was killed
}

// TestSignalAtStart guards against a signal that ends the process at once because it
// comes while the process starts, when its listeners take connections already.
func TestSignalAtStart(t *testing.T) {
	const starts = 20
	for _, tc := range []struct {
		signal syscall.Signal
		want   string
	}{
		{syscall.SIGHUP, "settings reloaded"},
		{syscall.SIGTERM, "planned stop begins"},
	} {
		t.Run(tc.signal.String(), func(t *testing.T) {
			c := qt.New(t)
			for range starts {
				address := freeAddress(c)
				cmd, lines := start(c, strings.Replace(validSettings, `caller = "127.0.0.1:0"`, fmt.Sprintf("caller = %q", address), 1))
				awaitListener(c, address)
				c.Assert(cmd.Process.Signal(tc.signal), qt.IsNil)
				awaitLine(c, lines, tc.want)
				c.Assert(cmd.Process.Kill(), qt.IsNil)
				_ = cmd.Wait() // it was killed
			}
		})
	}
}

func freeAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

func awaitListener(c *qt.C, address string) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
			return
		}
		time.Sleep(100 * time.Microsecond)
	}
	c.Fatalf("nothing listens on %s", address)
}

// TestUnusableSettings guards against a start that does not fail although its
// settings cannot be used, and against a failure without exit code 2 or without
// a message that names the file and the key.
func TestUnusableSettings(t *testing.T) {
	c := qt.New(t)
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer occupied.Close()
	for _, tc := range []struct{ old, new, want string }{
		{"insecure = true", `certificate = "none", key = "none", authority = "none"`, "host.toml: tls.certificate none"},
		{`operator = "127.0.0.1:0"`, fmt.Sprintf("operator = %q", occupied.Addr()), "host.toml: listen.operator: "},
	} {
		cmd, lines := start(c, strings.Replace(validSettings, tc.old, tc.new, 1))
		awaitLine(c, lines, tc.want)
		_ = cmd.Wait() // the exit code is checked
		c.Check(cmd.ProcessState.ExitCode(), qt.Equals, 2, qt.Commentf("%s", tc.want))
	}
}
