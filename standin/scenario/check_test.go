package scenario

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// instant sets a variable to a time from now.
func (f *fleet) instant(ts *testscript.TestScript, args []string) {
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	ts.Setenv(args[0], time.Now().Add(d).Format(time.RFC3339Nano))
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

func addUnused(ts *testscript.TestScript, out map[string]string, operator string) {
	resp, err := http.Get("http://" + operator + "/status")
	ts.Check(err)
	defer resp.Body.Close()
	var status struct {
		Servers []struct{ Server, State string }
	}
	ts.Check(json.NewDecoder(resp.Body).Decode(&status))
	for _, s := range status.Servers {
		if s.State != "avoided by this host" && s.State != "in trial" {
			out[s.Server] = s.State
		}
	}
}
