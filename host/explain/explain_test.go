package explain

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const sample = `panic: not a line of the log
   4.1 north-1 {"time":"2026-04-30T18:00:04.100Z","kind":"slot_lost","detail":"a/1","message":"notice"}
   4.2 north-2 {"time":"2026-04-30T18:00:04.200Z","kind":"slot_lost","detail":"a/1","message":"notice"}
{"time":"2026-04-30T18:00:05.000Z","request":"other","result":"failed","reason":"server_failed","server":"s1","tried":["s1"],"latency_ms":3,"message":"request"}
{"time":"2026-04-30T18:00:05.200Z","request":"good","result":"delivered","server":"s1","tried":["s1"],"latency_ms":3,"message":"request"}
{"time":"2026-04-30T18:00:06.000Z","request":"abc","result":"failed","reason":"server_failed","server":"s2","tried":["s1","s2"],"latency_ms":900,"message":"request"}
{"time":"2026-04-30T18:00:30.000Z","kind":"ready","detail":"","message":"notice"}
`

// TestExplain guards against a report without a related line, and against one
// with unrelated lines.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	var logs Logs
	c.Assert(logs.Read("n1.log", strings.NewReader(sample)), qt.IsNil)
	r, err := logs.Explain("abc")
	c.Assert(err, qt.IsNil)
	c.Assert(r.RequestLines, qt.HasLen, 1)
	c.Assert(r.StateChanges, qt.HasLen, 1)
	c.Check(r.StateChanges[0].Origin, qt.Equals, "n1.log 4.1 north-1")
	c.Check(r.StateChanges[0].Count, qt.Equals, 2)
	c.Assert(r.ServerFailures, qt.HasLen, 1)
	c.Check(strings.Contains(r.ServerFailures[0].Text, `"other"`), qt.IsTrue)
	_, err = logs.Explain("unknown")
	c.Check(err, qt.Equals, ErrNotFound)
}
