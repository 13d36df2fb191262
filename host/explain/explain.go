package explain

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"time"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/telemetry"
)

const (
	// around is how long before the arrival and after the end of a request lines
	// are looked for: hosts act on trouble within a few seconds.
	around = 3 * time.Second
	// maxLine is the longest line in bytes that is read.
	maxLine = 1 << 20
)

// ErrNotFound says that no line has the request.
var ErrNotFound = errors.New("no line of the logs has this request")

// Line is one line of a host's log.
type Line struct {
	Origin string // the file, and what stands before the line's JSON
	Text   string // the line's JSON
	// Count is how many lines say the same at other times or hosts, this one
	// included. It is the first of them.
	Count  int
	fields fields
}

// fields are the parts of a line that are looked at. Other fields are left out.
type fields struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Request string    `json:"request"`
	Result  string    `json:"result"`
	Server  string    `json:"server"`
	Tried   []string  `json:"tried"`
	Latency float64   `json:"latency_ms"`
	Kind    string    `json:"kind"`
	Detail  string    `json:"detail"`
}

func (f fields) isRequest() bool { return f.Message == telemetry.RequestMessage }

// Logs are lines of some hosts. The zero value is empty.
type Logs struct{ lines []Line }

// Read adds the lines of a log. Lines that are no JSON object are passed over:
// traces of a crash, for example.
func (l *Logs) Read(origin string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		before, rest, ok := strings.Cut(scanner.Text(), "{")
		if !ok {
			continue
		}
		line := Line{Origin: strings.Join(strings.Fields(origin+" "+before), " "), Text: "{" + rest, Count: 1}
		if json.Unmarshal([]byte(line.Text), &line.fields) == nil {
			l.lines = append(l.lines, line)
		}
	}
	return scanner.Err()
}

// Report is what bears on a request, each part in order of time.
type Report struct {
	Request []Line // the lines of the request itself
	Changes []Line // changes of state of any host around it
	Servers []Line // failed requests at its servers around it
}

// Explain returns the report on a request. It returns ErrNotFound where no line
// has it.
func (l *Logs) Explain(id string) (Report, error) {
	var r Report
	for _, line := range l.lines {
		if line.fields.Request == id {
			r.Request = append(r.Request, line)
		}
	}
	if len(r.Request) == 0 {
		return Report{}, ErrNotFound
	}
	from, to := span(r.Request)
	servers := serversOf(r.Request)
	for _, line := range l.lines {
		f := line.fields
		switch {
		case f.Request == id || f.Time.Before(from) || f.Time.After(to):
		case !f.isRequest():
			r.Changes = append(r.Changes, line)
		case f.Result != string(model.Delivered) && slices.ContainsFunc(f.servers(), func(s string) bool { return servers[s] }):
			r.Servers = append(r.Servers, line)
		}
	}
	for _, part := range [][]Line{r.Request, r.Changes, r.Servers} {
		slices.SortStableFunc(part, func(a, b Line) int { return a.fields.Time.Compare(b.fields.Time) })
	}
	r.Changes = merge(r.Changes)
	return r, nil
}

// merge keeps the first of the lines that say the same, as each host does of a new
// configuration.
func merge(lines []Line) []Line {
	type change struct{ message, kind, detail string }
	first := make(map[change]int)
	var merged []Line
	for _, line := range lines {
		key := change{line.fields.Message, line.fields.Kind, line.fields.Detail}
		if i, ok := first[key]; ok {
			merged[i].Count++
			continue
		}
		first[key] = len(merged)
		merged = append(merged, line)
	}
	return merged
}

// span returns the time in which lines bear on the request.
func span(lines []Line) (from, to time.Time) {
	for i, line := range lines {
		end := line.fields.Time
		start := end.Add(-time.Duration(line.fields.Latency * float64(time.Millisecond)))
		if i == 0 || start.Before(from) {
			from = start
		}
		if i == 0 || end.After(to) {
			to = end
		}
	}
	return from.Add(-around), to.Add(around)
}

func (f fields) servers() []string {
	if f.Server == "" {
		return f.Tried
	}
	return append([]string{f.Server}, f.Tried...)
}

func serversOf(lines []Line) map[string]bool {
	servers := make(map[string]bool)
	for _, line := range lines {
		for _, server := range line.fields.servers() {
			servers[server] = true
		}
	}
	return servers
}
