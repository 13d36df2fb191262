package explain

import (
	"cmp"
	"slices"

	"pollensail.dev/decision/model"
)

// Cause is what became of a group of requests of one class.
type Cause struct {
	Class  string
	Result string
	Reason string // empty for a delivered request
	// NoRetry says why a failed request was not sent to another server.
	NoRetry string
	// TokenCause says why a request refused with tokens_unavailable got no token.
	TokenCause string
	Requests   int
	// Attempts are the attempts at servers of all requests of the group.
	Attempts int
}

// Summary counts the requests of the logs by class and by what became of them, the
// most frequent first within a class. It is empty if the logs have no request line.
func (l *Logs) Summary() []Cause {
	groups := make(map[Cause]Cause)
	for _, line := range l.lines {
		f := line.fields
		if !f.isRequestLine() {
			continue
		}
		key := Cause{Class: f.Class, Result: f.Result, Reason: f.Reason, NoRetry: f.NoRetry, TokenCause: f.TokenCause}
		if f.Result == string(model.Delivered) {
			key.Reason, key.NoRetry, key.TokenCause = "", "", ""
		}
		group := groups[key]
		group.Class, group.Result, group.Reason, group.NoRetry = key.Class, key.Result, key.Reason, key.NoRetry
		group.TokenCause = key.TokenCause
		group.Requests++
		group.Attempts += f.Attempts
		groups[key] = group
	}
	causes := make([]Cause, 0, len(groups))
	for _, group := range groups {
		causes = append(causes, group)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), b.Requests-a.Requests,
			cmp.Compare(a.Result, b.Result), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.NoRetry, b.NoRetry),
			cmp.Compare(a.TokenCause, b.TokenCause))
	})
	return causes
}
