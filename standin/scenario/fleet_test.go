package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// startWait bounds the wait for a process that starts.
	startWait = 20 * time.Second
	pollPause = 20 * time.Millisecond
	// lifetime ends a stand-in whose test was killed.
	lifetime = "3m"
)

// fleet holds the processes of one script.
type fleet struct {
	dir string

	mu        sync.Mutex
	processes map[string]*process
}

type process struct {
	cmd     *exec.Cmd
	done    chan struct{} // closed when it ended
	started time.Time
}

// start starts a program, output to NAME.log, and keeps it under the name.
func (f *fleet) start(ts *testscript.TestScript, name, program string, args ...string) {
	out, err := os.Create(f.log(name))
	ts.Check(err)
	defer out.Close()
	cmd := exec.Command(filepath.Join(programs, program), args...)
	cmd.Stdout, cmd.Stderr = out, out
	ts.Check(cmd.Start())
	p := &process{cmd: cmd, done: make(chan struct{}), started: time.Now()}
	go func() {
		defer close(p.done)
		cmd.Wait()
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes[name] = p
}

func (f *fleet) process(ts *testscript.TestScript, name string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.processes[name]
	if !ok {
		ts.Fatalf("no process %q", name)
	}
	return p
}

func (f *fleet) killAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.cmd.Process.Kill()
		<-p.done
	}
}

func (f *fleet) log(name string) string { return filepath.Join(f.dir, name+".log") }

// until repeats a condition until it holds.
func until(ts *testscript.TestScript, within time.Duration, what string, holds func() bool) {
	for end := time.Now().Add(within); !holds(); time.Sleep(pollPause) {
		if time.Now().After(end) {
			ts.Fatalf("%s: not within %v", what, within)
		}
	}
}

// standin starts a stand-in and sets NAME and NAME_KEY for each address that it
// announces.
func (f *fleet) standin(ts *testscript.TestScript, name string, args ...string) {
	file := filepath.Join(f.dir, name+".addr")
	args = append(args, "--announce", file, "--lifetime", lifetime)
	f.start(ts, name, "standin", args...)
	until(ts, startWait, "start of "+name, func() bool {
		_, err := os.Stat(file)
		return err == nil
	})
	for line := range strings.Lines(ts.ReadFile(file)) {
		key, address, _ := strings.Cut(strings.TrimSpace(line), "=")
		ts.Setenv(name+"_"+key, address)
	}
}

func (f *fleet) startStore(ts *testscript.TestScript, _ []string) {
	f.standin(ts, "store", "store")
	ts.Setenv("POLLENSAIL_STORE", ts.Getenv("store_store"))
}

func (f *fleet) startBackend(ts *testscript.TestScript, args []string) {
	name, kind, service, domain := args[0], args[1], args[2], args[3]
	f.standin(ts, name, append([]string{"backend", "--name", name, "--kind", kind}, args[4:]...)...)
	work := ts.Getenv(name + "_work")
	f.list(ts, work, fmt.Sprintf(`{"role":"backend","domain":%q,"service":%q}`, domain, service))
	ts.Setenv("controls", strings.Trim(ts.Getenv("controls")+","+ts.Getenv(name+"_control"), ","))
}

func (f *fleet) list(ts *testscript.TestScript, id, entry string) {
	ts.Check(ts.Exec("standin", "http", "PUT", ts.Getenv("store_store")+"/v1/hosts/"+id, entry))
}

const settings = `host = %q
domain = %q
[listen]
caller = "127.0.0.1:0"
peer = "127.0.0.1:0"
operator = "127.0.0.1:0"
[store]
address = %q
[tls]
insecure = true
[stop]
balancer_delay = "500ms"
`

var startedLine = regexp.MustCompile(`.*"host started"`)

// startHost starts an entry host, lists it, and sets NAME, NAME_peer and
// NAME_operator. Its store or its peers reach it through the relay on request.
func (f *fleet) startHost(ts *testscript.TestScript, args []string) {
	name, domain := args[0], args[1]
	store := ts.Getenv("store_store")
	if slices.Contains(args[2:], "relay-store") {
		f.standin(ts, name+"_relay", "relay", "--to", store)
		store = ts.Getenv(name + "_relay_relay0")
	}
	file := filepath.Join(f.dir, name+".toml")
	ts.Check(os.WriteFile(file, fmt.Appendf(nil, settings, name, domain, store), 0o600))
	f.start(ts, name, "pollensail", "--settings", file)
	var line string
	until(ts, startWait, "start of "+name, func() bool {
		line = startedLine.FindString(ts.ReadFile(f.log(name)))
		return line != ""
	})
	for _, port := range []string{"caller", "peer", "operator"} {
		address := regexp.MustCompile(`"` + port + `":"([0-9.:]+)"`).FindStringSubmatch(line)
		ts.Setenv(name+"_"+port, address[1])
	}
	ts.Setenv(name, ts.Getenv(name+"_caller"))
	if slices.Contains(args[2:], "relay-peer") {
		f.standin(ts, name+"_relay", "relay", "--to", ts.Getenv(name+"_peer"))
		ts.Setenv(name+"_peer", ts.Getenv(name+"_relay_relay0"))
	}
	f.list(ts, name, fmt.Sprintf(`{"role":"entry","domain":%q,"peer":%q,"operator":%q}`,
		domain, ts.Getenv(name+"_peer"), ts.Getenv(name+"_operator")))
}

// slots is the number of slots of testdata/tree.toml.
const slots = 8

// ready waits until the hosts are ready, own all slots together and answer
// RIDGE. A takeover from a killed host takes about 13 s, and a host is ready
// before it knows who owns the slots.
func (f *fleet) ready(ts *testscript.TestScript, hosts []string) {
	until(ts, 2*startWait, fmt.Sprintf("%v ready with all slots", hosts), func() bool {
		owned := 0
		for _, host := range hosts {
			status, err := statusOf(ts.Getenv(host + "_operator"))
			if err != nil || !status.Ready {
				return false
			}
			owned += len(status.Slots)
		}
		return owned == slots
	})
	for _, host := range hosts {
		ts.Check(ts.Exec("standin", "http", "GET", ts.Getenv(host)+"/birds/1",
			"--header", "X-Api-Key: "+ts.Getenv("RIDGE"), "--within", startWait.String()))
	}
}

// evidenceAge is how old a host is at least when what it says is evidence of a
// store outage, with the time it takes to tell the others. The design sets 14 s.
const evidenceAge = 16 * time.Second

// old waits until hosts are old enough for a store outage to be told from
// isolation.
func (f *fleet) old(ts *testscript.TestScript, hosts []string) {
	for _, host := range hosts {
		time.Sleep(time.Until(f.process(ts, host).started.Add(evidenceAge)))
	}
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM,
}

func (f *fleet) send(ts *testscript.TestScript, args []string) {
	ts.Check(f.process(ts, args[1]).cmd.Process.Signal(signals[args[0]]))
}

// stop stops a host under load with long exports, and checks that each request
// was answered and the host ended with code 0. A request that was told not-run
// is sent again to the next host, as the platform's balancer does.
func (f *fleet) stop(ts *testscript.TestScript, args []string) {
	host, callers := args[0], args[1]
	loads := [][]string{
		{"--path", "/birds/1", "--rate", "80", "--count", "320"},
		{"--path", "/seasons/1", "--rate", "8", "--count", "24", "--timeout", "10s"},
	}
	for i, load := range loads {
		out := filepath.Join(f.dir, fmt.Sprintf("%s-load%d.jsonl", host, i))
		f.start(ts, fmt.Sprint(host, "-load", i), "standin", slices.Concat([]string{"call", "--host", callers,
			"--key", ts.Getenv("RIDGE"), "--retries", "3", "--calls", out}, load)...)
	}
	until(ts, startWait, "exports at "+host, func() bool {
		status, err := statusOf(ts.Getenv(host + "_operator"))
		return err == nil && status.InFlight >= 2
	})
	f.send(ts, []string{"TERM", host})
	f.ended(ts, []string{host, "0"})
	ts.Check(ts.Exec("standin", "http", "DELETE", ts.Getenv("store_store")+"/v1/hosts/"+host))
	for i, count := range []string{"320", "24"} {
		name := fmt.Sprint(host, "-load", i)
		f.ended(ts, []string{name, "0"})
		f.expect(ts, []string{f.log(name), "ok", "=", count})
	}
}

// ended waits for the end of a process and checks its exit code.
func (f *fleet) ended(ts *testscript.TestScript, args []string) {
	p := f.process(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(startWait):
		ts.Fatalf("%s has not ended within %v", args[0], startWait)
	}
	if code := strconv.Itoa(p.cmd.ProcessState.ExitCode()); code != args[1] {
		ts.Fatalf("%s ended with code %s:\n%s", args[0], code, ts.ReadFile(f.log(args[0])))
	}
}

// fault switches the faults of the store or a backend server.
func (f *fleet) fault(ts *testscript.TestScript, args []string) {
	address := ts.Getenv(args[0]+"_control") + "/faults"
	if args[0] == "store" {
		address = ts.Getenv("store_store") + "/standin/faults"
	}
	ts.Check(ts.Exec("standin", "http", "PUT", address, args[1]))
}

// relay sets the rules of a host's relay.
func (f *fleet) relay(ts *testscript.TestScript, args []string) {
	ts.Check(ts.Exec("standin", "http", "PUT", ts.Getenv(args[0]+"_relay_control")+"/rules", args[1]))
}

// grant grants a key and sets a variable to it.
func (f *fleet) grant(ts *testscript.TestScript, args []string) {
	ts.Check(ts.Exec("pollenctl", "key", "grant", args[1]))
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile("stdout")))
}

// refused checks that a start with broken settings ends with code 2 and says
// what matches a pattern.
func (f *fleet) refused(ts *testscript.TestScript, args []string) {
	f.start(ts, "refused", "pollensail", "--settings", ts.MkAbs(args[0]))
	f.ended(ts, []string{"refused", "2"})
	text := ts.ReadFile(f.log("refused"))
	if !regexp.MustCompile(args[1]).MatchString(text) {
		ts.Fatalf("no match for %s in\n%s", args[1], text)
	}
}
