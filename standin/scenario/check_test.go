package scenario

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pollensail.dev/host/telemetry"
	"pollensail.dev/standin/caller"
)

// instant sets a variable to a time from now.
func (f *fleet) instant(ts *testscript.TestScript, args []string) {
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	ts.Setenv(args[0], time.Now().Add(d).Format(time.RFC3339Nano))
}

// uuid sets a variable to a new UUIDv7.
func (f *fleet) uuid(ts *testscript.TestScript, args []string) {
	ts.Setenv(args[0], caller.NewUUID())
}

// await repeats a program until it succeeds.
func (f *fleet) await(ts *testscript.TestScript, args []string) {
	within, err := time.ParseDuration(args[0])
	ts.Check(err)
	until(ts, within, strings.Join(args[1:], " "), func() bool {
		return ts.Exec(args[1], args[2:]...) == nil
	})
}

// expect compares a number of a JSON file, 0 where it is not there. The field
// is dotted.
func (f *fleet) expect(ts *testscript.TestScript, args []string) {
	var value any
	text := ts.ReadFile(args[0])
	ts.Check(json.Unmarshal([]byte(text), &value))
	for name := range strings.SplitSeq(args[1], ".") {
		object, _ := value.(map[string]any)
		value = object[name]
	}
	got, _ := value.(float64)
	want, err := strconv.ParseFloat(args[3], 64)
	ts.Check(err)
	holds := map[string]bool{"=": got == want, "<=": got <= want, ">=": got >= want}
	if !holds[args[2]] {
		ts.Fatalf("%s is %v, expected %s %s, in\n%s", args[1], got, args[2], args[3], text)
	}
}

// replace replaces a text that is in a file once.
func (f *fleet) replace(ts *testscript.TestScript, args []string) {
	text := ts.ReadFile(args[0])
	if strings.Count(text, args[1]) != 1 {
		ts.Fatalf("%q is not once in\n%s", args[1], text)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
}

// out waits until a server is ejected on all hosts.
func (f *fleet) out(ts *testscript.TestScript, args []string) {
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	until(ts, within, args[0]+" ejected everywhere", func() bool {
		for _, host := range args[2:] {
			out := make(map[string]string)
			addUnused(ts, out, ts.Getenv(host+"_operator"))
			if out[ts.Getenv(args[0]+"_work")] != "ejected" {
				return false
			}
		}
		return true
	})
}

// sampleTime bounds a sample of all hosts: a server comes back into use 2 s
// before another may be ejected in its place, so a longer sample proves nothing.
const sampleTime = time.Second

// unused samples the status of hosts for a time and checks that never more
// than MAX servers are out of use, summed over the hosts.
func (f *fleet) unused(ts *testscript.TestScript, args []string) {
	most, err := strconv.Atoi(args[0])
	ts.Check(err)
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	samples := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollPause) {
		start := time.Now()
		out := make(map[string]string)
		for _, host := range args[2:] {
			addUnused(ts, out, ts.Getenv(host+"_operator"))
		}
		if time.Since(start) > sampleTime {
			continue
		}
		samples++
		if len(out) > most {
			ts.Fatalf("%d servers are out of use, at most %d may be: %v", len(out), most, out)
		}
	}
	if samples == 0 {
		ts.Fatalf("no sample in %v", d)
	}
}

// most waits until at most MAX servers are out of use, summed over the hosts.
func (f *fleet) most(ts *testscript.TestScript, args []string) {
	most, err := strconv.Atoi(args[0])
	ts.Check(err)
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	until(ts, within, "at most "+args[0]+" servers out of use", func() bool {
		out := make(map[string]string)
		for _, host := range args[2:] {
			addUnused(ts, out, ts.Getenv(host+"_operator"))
		}
		return len(out) <= most
	})
}

func addUnused(ts *testscript.TestScript, out map[string]string, operator string) {
	status, err := statusOf(operator)
	ts.Check(err)
	for _, s := range status.Servers {
		if s.State != "avoided by this host" {
			out[s.Server] = s.State
		}
	}
}

// statusOf reads /status of an operator port.
func statusOf(operator string) (telemetry.Status, error) {
	var status telemetry.Status
	resp, err := http.Get("http://" + operator + "/status")
	if err != nil {
		return status, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return status, errors.New(resp.Status)
	}
	return status, json.NewDecoder(resp.Body).Decode(&status)
}
