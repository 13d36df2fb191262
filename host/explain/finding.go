package explain

import (
	"fmt"
	"strings"
	"time"
)

// justStarted is how long a process counts as just started. What callers lose
// within it may be due to the restart of its host.
const justStarted = 10 * time.Second

// Finding is what one line of a request says of how the host treated it.
type Finding struct {
	Origin string // of the line
	Text   string
}

// findings returns what a line of a request says of attempts that the host
// cancelled, of an answer that the caller did not get, and of the host's start or
// stop.
func findings(line Line) []Finding {
	f := line.fields
	if f.Complete == nil {
		return nil // not an outcome, or of a host that does not log these fields
	}
	var texts []string
	add := func(format string, args ...any) { texts = append(texts, fmt.Sprintf(format, args...)) }
	if len(f.Cancelled) > 0 {
		add("the host cancelled attempts at %s before the server had answered or failed", strings.Join(f.Cancelled, ", "))
		switch {
		case f.Reason == "":
			add("the answer of %s was sent instead", f.Server)
		case !f.CallerLeft:
			add("an answer of the host (status %d, %s) took the place of an answer of these servers", f.Status, f.Reason)
		}
	}
	if f.CallerLeft {
		add("the caller closed its connection before it had a response")
	}
	switch {
	case *f.Complete:
	case f.Status == 0:
		add("the connection to the caller ended before anything was sent")
	default:
		add("the connection to the caller ended within the answer (status %d)", f.Status)
	}
	if f.Stopping {
		add("the host was in a planned stop")
	}
	if uptime := time.Duration(f.Uptime * float64(time.Millisecond)); uptime < justStarted {
		add("the host's process had run for %v only", uptime)
	}
	found := make([]Finding, len(texts))
	for i, text := range texts {
		found[i] = Finding{Origin: line.Origin, Text: text}
	}
	return found
}
