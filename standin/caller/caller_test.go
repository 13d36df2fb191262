package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/standin/server"
)

func testConfig(host string) Config {
	return Config{Hosts: []string{host}, Path: "/x?a=1", RatePerSecond: 10_000, Count: 4, Outstanding: 4, Timeout: 5 * time.Second}
}

// TestRun guards against calls that are counted under the wrong status, verdict or
// error.
func TestRun(t *testing.T) {
	c := qt.New(t)
	backend := server.New(server.Config{Kind: server.Lookup, Concurrency: 4, MaxQueued: 4})
	address, err := backend.Listen("127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer backend.Close()
	cases := []struct {
		name   string
		faults server.Faults
		check  func(c *qt.C, s Summary)
	}{
		{"none", server.Faults{}, func(c *qt.C, s Summary) { c.Check(s.OK, qt.Equals, 4) }},
		{"fail", server.Faults{FailShare: 0.5}, func(c *qt.C, s Summary) {
			c.Check(s.Statuses, qt.DeepEquals, map[string]int{"200": 2, "500": 2})
		}},
		{"truncate", server.Faults{TruncateShare: 1}, func(c *qt.C, s Summary) {
			c.Check(s.OK, qt.Equals, 0)
			c.Check(s.Verdicts, qt.DeepEquals, map[string]int{MayHaveRun: 4})
		}},
		{"cross", server.Faults{CrossShare: 1}, func(c *qt.C, s Summary) { c.Check(s.Crossed > 0, qt.IsTrue) }},
		{"refuse", server.Faults{Refuse: true}, func(c *qt.C, s Summary) {
			c.Check(s.Verdicts, qt.DeepEquals, map[string]int{NotRun: 4})
		}},
	}
	for _, tc := range cases {
		c.Run(tc.name, func(c *qt.C) {
			c.Assert(backend.SetFaults(tc.faults), qt.IsNil)
			calls, unsent, err := Run(context.Background(), testConfig(address))
			c.Assert(err, qt.IsNil)
			c.Assert(calls, qt.HasLen, 4)
			tc.check(c, Summarize(calls, unsent))
		})
	}
}

// TestRetries guards against a retry of a request that may have run, and against a
// retry with a different idempotency key.
func TestRetries(t *testing.T) {
	c := qt.New(t)
	keys := make(map[string]int)
	verdict := NotRun
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		keys[r.Header.Get("Idempotency-Key")]++
		w.Header().Set("Pollensail-Verdict", verdict)
		w.WriteHeader(http.StatusServiceUnavailable)
		w.Write([]byte(`{"reason":"isolated"}`))
	}))
	defer s.Close()
	call := testConfig(strings.TrimPrefix(s.URL, "http://"))
	call.Count, call.Retries, call.Idempotent = 1, 2, true
	calls, _, err := Run(context.Background(), call)
	c.Assert(err, qt.IsNil)
	c.Assert(calls[0].Tries, qt.Equals, 3)
	c.Assert(calls[0].Reason, qt.Equals, "isolated")
	c.Assert(calls[0].MayHaveRun, qt.IsFalse)
	c.Assert(keys, qt.HasLen, 1)

	verdict = MayHaveRun
	calls, _, err = Run(context.Background(), call)
	c.Assert(err, qt.IsNil)
	c.Assert(calls[0].Tries, qt.Equals, 1)
}

// TestNoHiddenRetry guards against retries by the HTTP library itself. When a host
// is killed, it resets the second request on a reused connection. A hidden retry
// then finds no listener, and the caller would report not-run though the first
// attempt may have run.
func TestNoHiddenRetry(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		c := qt.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		received := make(chan int, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			in := bufio.NewReader(conn)
			count := countRequest(in)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			count += countRequest(in)
			listener.Close()
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			received <- count
		}()
		settings := testConfig(listener.Addr().String())
		settings.Method = method
		client := newClient(settings)
		c.Assert(client.call(context.Background(), 0, time.Now()).Status, qt.Equals, 200)
		call := client.call(context.Background(), 0, time.Now())
		c.Check(<-received, qt.Equals, 2)
		c.Check(call.Verdict, qt.Equals, MayHaveRun, qt.Commentf("%s: %s", method, call.Error))
	}
}

// countRequest reads a request with its body and returns 1, or 0 if there is none.
func countRequest(in *bufio.Reader) int {
	request, err := http.ReadRequest(in)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return 1
}

// TestAudit guards against an audit that misses a violated guarantee.
func TestAudit(t *testing.T) {
	c := qt.New(t)
	runs := []server.Execution{{BusinessID: "a"}, {BusinessID: "b"}, {BusinessID: "b"}}
	ok := CallResult{Status: 200, Verdict: Ran, MayHaveRun: true}
	call := func(business string, change func(*CallResult)) CallResult {
		result := ok
		result.BusinessID = business
		change(&result)
		return result
	}
	unchanged := func(*CallResult) {}
	cases := []struct {
		call CallResult
		want string
	}{
		{call("a", unchanged), ""},
		{call("b", unchanged), "b: ran 2 times"},
		{call("c", unchanged), "c: told status 200, did not run"},
		{call("a", func(c *CallResult) { c.Status, c.MayHaveRun = 503, false }), "a: told not-run, ran 1 times"},
		{call("c", func(c *CallResult) { c.Status, c.MayHaveRun = 503, false }), ""},
		{call("a", func(c *CallResult) { c.Crossed = true }), "a: answer of another request"},
	}
	for _, tc := range cases {
		c.Check(strings.Join(Audit([]CallResult{tc.call}, runs, true), "\n"), qt.Equals, tc.want)
	}
	received := []server.ReceivedRequest{{URI: "/"}, {URI: "/", Header: http.Header{"X": {"a secret b"}}}, {URI: "/?secret"}}
	c.Check(FindLeakedKey("secret", received), qt.HasLen, 2)
}
