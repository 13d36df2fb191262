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

// setTime sets a variable to a time relative to now.
func (f *fleet) setTime(ts *testscript.TestScript, args []string) {
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	ts.Setenv(args[0], time.Now().Add(d).Format(time.RFC3339Nano))
}

// setUUID sets a variable to a new UUIDv7.
func (f *fleet) setUUID(ts *testscript.TestScript, args []string) {
	ts.Setenv(args[0], caller.NewUUID())
}

// retryProgram runs a program repeatedly until it succeeds.
func (f *fleet) retryProgram(ts *testscript.TestScript, args []string) {
	within, err := time.ParseDuration(args[0])
	ts.Check(err)
	pollUntil(ts, within, strings.Join(args[1:], " "), func() bool {
		return ts.Exec(args[1], args[2:]...) == nil
	})
}

// expectNumber compares a number in a JSON file with an expected one. The path
// of its field is dotted. A missing field counts as 0.
func (f *fleet) expectNumber(ts *testscript.TestScript, args []string) {
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

// replaceOnce replaces a text that must occur exactly once in a file.
func (f *fleet) replaceOnce(ts *testscript.TestScript, args []string) {
	text := ts.ReadFile(args[0])
	if strings.Count(text, args[1]) != 1 {
		ts.Fatalf("%q does not occur exactly once in:\n%s", args[1], text)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Replace(text, args[1], args[2], 1)), 0o600))
}

// waitEjected waits until a server is ejected on all hosts.
func (f *fleet) waitEjected(ts *testscript.TestScript, args []string) {
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	pollUntil(ts, within, args[0]+" ejected everywhere", func() bool {
		for _, host := range args[2:] {
			outOfUse := make(map[string]string)
			addOutOfUse(ts, outOfUse, ts.Getenv(host+"_operator"))
			if outOfUse[ts.Getenv(args[0]+"_work")] != "ejected" {
				return false
			}
		}
		return true
	})
}

// maxSampleTime limits the time to read the status of all hosts. A server
// returns to use 2 s before another may be ejected in its place, so a slower
// sample may count servers that were not out of use at the same time.
const maxSampleTime = time.Second

// checkOutOfUse samples the status of hosts for a time and checks that at most
// MAX servers are out of use in each sample, counted once over all hosts.
func (f *fleet) checkOutOfUse(ts *testscript.TestScript, args []string) {
	limit, err := strconv.Atoi(args[0])
	ts.Check(err)
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	samples := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(pollInterval) {
		start := time.Now()
		outOfUse := make(map[string]string)
		for _, host := range args[2:] {
			addOutOfUse(ts, outOfUse, ts.Getenv(host+"_operator"))
		}
		if time.Since(start) > maxSampleTime {
			continue
		}
		samples++
		if len(outOfUse) > limit {
			ts.Fatalf("%d servers are out of use, at most %d may be: %v", len(outOfUse), limit, outOfUse)
		}
	}
	if samples == 0 {
		ts.Fatalf("no sample of all hosts within %v was fast enough", d)
	}
}

// waitOutOfUse waits until at most MAX servers are out of use, counted once over
// all hosts.
func (f *fleet) waitOutOfUse(ts *testscript.TestScript, args []string) {
	limit, err := strconv.Atoi(args[0])
	ts.Check(err)
	within, err := time.ParseDuration(args[1])
	ts.Check(err)
	pollUntil(ts, within, "at most "+args[0]+" servers out of use", func() bool {
		outOfUse := make(map[string]string)
		for _, host := range args[2:] {
			addOutOfUse(ts, outOfUse, ts.Getenv(host+"_operator"))
		}
		return len(outOfUse) <= limit
	})
}

// addOutOfUse adds the servers that a host reports as out of use, with their
// states. A server that only this host avoids is not out of use.
func addOutOfUse(ts *testscript.TestScript, outOfUse map[string]string, operator string) {
	status, err := statusOf(operator)
	ts.Check(err)
	for _, s := range status.Servers {
		if s.State != "avoided by this host" {
			outOfUse[s.Server] = s.State
		}
	}
}

// statusOf returns the status at an operator port.
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
