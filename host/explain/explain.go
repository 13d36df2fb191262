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
	// searchMargin extends the search before the arrival and after the end of a
	// request. Hosts react to failures within a few seconds.
	searchMargin = 3 * time.Second
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
)

// ErrNotFound reports that no log line has the request id or service.
var ErrNotFound = errors.New("no line of the logs has this request or service")

// ErrNoRequests reports that no log line is about a request.
var ErrNoRequests = errors.New("the logs have no line of a request")

// Line is one line of a host's log.
type Line struct {
	Origin string // file name, and the text before the JSON object
	Text   string // JSON object
	// Count is the number of lines that report the same state change, this one
	// included. This line is the earliest of them.
	Count  int
	fields lineFields
}

// lineFields are the fields of a log line that the search uses.
type lineFields struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Request string    `json:"request"`
	Result  string    `json:"result"`
	Server  string    `json:"server"`
	Tried   []string  `json:"tried"`
	Latency float64   `json:"latency_ms"`
	Kind    string    `json:"kind"`
	Detail  string    `json:"detail"`

	Class        string  `json:"class"`
	NoRetry      string  `json:"no_retry"`
	TokenCause   string  `json:"token_cause"`
	Attempts     int     `json:"attempts"`
	Service      string  `json:"service"`
	Reason       string  `json:"reason"`
	ServerTrust  float64 `json:"server_trust"`
	Probe        bool    `json:"probe"`
	ServiceShort bool    `json:"service_short"`

	Cancelled  []string `json:"cancelled"`
	Status     int      `json:"status"`
	Complete   *bool    `json:"complete"` // nil in lines of hosts that do not log it
	CallerLeft bool     `json:"caller_left"`
	Stopping   bool     `json:"stopping"`
	Uptime     float64  `json:"uptime_ms"`
}

func (f lineFields) isRequestLine() bool { return f.Message == telemetry.RequestLogMessage }

// host returns the part of Origin that names the host: the last word, since a
// log collector may put a time before it.
func (l Line) host() string {
	words := strings.Fields(l.Origin)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

// Logs holds the log lines of one or more hosts. The zero value is empty.
type Logs struct{ lines []Line }

// Read adds the lines of a log. It skips lines without a valid JSON object, such
// as stack traces.
func (l *Logs) Read(origin string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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

// Report holds the log lines related to a request, each part sorted by time.
type Report struct {
	RequestLines   []Line // lines of the request itself
	Findings       []Finding
	StateChanges   []Line // state changes on any host around the time of the request
	ServerFailures []Line // other failed requests at its servers around that time
}

// Explain returns the report on the request with the given id, or ErrNotFound if
// no line has that id.
func (l *Logs) Explain(id string) (Report, error) {
	var r Report
	for _, line := range l.lines {
		if line.fields.Request == id {
			r.RequestLines = append(r.RequestLines, line)
		}
	}
	if len(r.RequestLines) == 0 {
		return Report{}, ErrNotFound
	}
	from, to := searchWindow(r.RequestLines)
	servers := triedServers(r.RequestLines)
	for _, line := range l.lines {
		f := line.fields
		switch {
		case f.Request == id || f.Time.Before(from) || f.Time.After(to):
		case !f.isRequestLine():
			r.StateChanges = append(r.StateChanges, line)
		case f.Result != string(model.Delivered) && slices.ContainsFunc(f.servers(), func(s string) bool { return servers[s] }):
			r.ServerFailures = append(r.ServerFailures, line)
		}
	}
	for _, part := range [][]Line{r.RequestLines, r.StateChanges, r.ServerFailures} {
		slices.SortStableFunc(part, func(a, b Line) int { return a.fields.Time.Compare(b.fields.Time) })
	}
	r.StateChanges = deduplicate(r.StateChanges)
	for _, line := range r.RequestLines {
		r.Findings = append(r.Findings, findings(line)...)
	}
	return r, nil
}

// deduplicate keeps the first of the lines that report the same change and counts
// the others. Every host reports a new configuration, for example. The line on the
// requests of a planned stop differs from host to host.
func deduplicate(lines []Line) []Line {
	type change struct{ message, kind, detail, origin string }
	firstIndex := make(map[change]int)
	var distinct []Line
	for _, line := range lines {
		key := change{message: line.fields.Message, kind: line.fields.Kind, detail: line.fields.Detail}
		if key.message == telemetry.StopLogMessage {
			key.origin = line.Origin
		}
		if i, ok := firstIndex[key]; ok {
			distinct[i].Count++
			continue
		}
		firstIndex[key] = len(distinct)
		distinct = append(distinct, line)
	}
	return distinct
}

// searchWindow returns the time span of a request, extended by searchMargin on
// both sides.
func searchWindow(lines []Line) (from, to time.Time) {
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
	return from.Add(-searchMargin), to.Add(searchMargin)
}

// servers returns the servers that the request of a line was sent to.
func (f lineFields) servers() []string {
	servers := slices.Concat(f.Tried, f.Cancelled)
	if f.Server != "" {
		servers = append(servers, f.Server)
	}
	return servers
}

// triedServers returns the servers that got a request of the lines.
func triedServers(lines []Line) map[string]bool {
	servers := make(map[string]bool)
	for _, line := range lines {
		for _, server := range line.fields.servers() {
			servers[server] = true
		}
	}
	return servers
}
