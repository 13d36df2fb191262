package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// TestExtraResponseIsSkipped guards against an attempt that is given up while its server
// is at work on it, because a second copy of the response to an earlier request arrives
// first. Its request ID tells that it is not the response.
func TestExtraResponseIsSkipped(t *testing.T) {
	c := qt.New(t)
	server := startFakeServer(c, func(s *fakeServer, conn *net.TCPConn, in *bufio.Reader) {
		earlier := ""
		for id := s.runRequest(in); id != ""; id = s.runRequest(in) {
			for _, id := range []string{earlier, id} {
				if id != "" {
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nPollensail-Request-Id: %s\r\nContent-Length: %d\r\n\r\n", id, len(id))
					_, _ = io.WriteString(conn, id)
				}
			}
			earlier = id
		}
	})
	transport := newTransport(c, Options{})
	for range 2 {
		attempt := newAttempt(transport.clock, server.id, longTimeout)
		result, response := transport.Do(attempt)
		c.Assert(result.Reason, qt.Equals, model.Reason(""))
		c.Check(string(response.Response.Body()), qt.Equals, attempt.RequestID)
		response.Release()
	}
	c.Check(server.connections(), qt.Equals, 1)
}

// TestExtraResponseIsNotDelivered guards against a response to another request that is
// taken for the answer, or against bytes of its body that are taken for a response, where
// its end is not known.
func TestExtraResponseIsNotDelivered(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nPollensail-Request-Id: =ID=\r\nContent-Length: 3\r\n\r\nown"
	const other = "HTTP/1.1 200 OK\r\nPollensail-Request-Id: EARLIER\r\n"
	const inner = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad"
	tests := map[string]struct {
		extra string
		want  string // empty: the attempt fails
	}{
		"with a length":          {other + "Content-Length: 5\r\n\r\nother", "own"},
		"empty":                  {other + "Content-Length: 0\r\n\r\n", "own"},
		"in chunks":              {other + "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n", "own"},
		"twice":                  {strings.Repeat(other+"Content-Length: 5\r\n\r\nother", 2), "own"},
		"without content":        {"HTTP/1.1 204 No Content\r\nPollensail-Request-Id: EARLIER\r\n\r\n", "own"},
		"holds a response":       {other + "Content-Length: " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner, "own"},
		"without an end":         {other + "\r\n", ""},
		"too large":              {other + "Content-Length: 1048577\r\n\r\n", ""},
		"too many":               {strings.Repeat(other+"Content-Length: 5\r\n\r\nother", maxResponseHeaders), ""},
		"with a malformed chunk": {other + "Transfer-Encoding: chunked\r\n\r\n5 \r\nother\r\n0\r\n\r\n", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := startFakeServer(c, func(s *fakeServer, conn *net.TCPConn, in *bufio.Reader) {
				earlier := s.runRequest(in)
				_, _ = io.WriteString(conn, strings.ReplaceAll(own, "=ID=", earlier))
				id := s.runRequest(in)
				text := strings.ReplaceAll(test.extra+own, "EARLIER", earlier)
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "=ID=", id))
			})
			transport := newTransport(c, Options{})
			_, first := transport.Do(newAttempt(transport.clock, server.id, longTimeout))
			c.Assert(first, qt.IsNotNil)
			first.Release()
			attempt := newAttempt(transport.clock, server.id, longTimeout)
			result, response := transport.Do(attempt)
			if test.want == "" {
				c.Check(response, qt.IsNil)
				c.Check(result.Reason, qt.Equals, model.ReasonBadAnswer)
				c.Check(result.Verdict, qt.Equals, model.MayHaveRun)
				return
			}
			c.Assert(response, qt.IsNotNil)
			c.Check(string(response.Response.Body()), qt.Equals, test.want)
			response.Release()
		})
	}
}

// TestNoSkipAfterHead guards against a response to an earlier HEAD request that is skipped
// with a body that it does not have.
func TestNoSkipAfterHead(t *testing.T) {
	c := qt.New(t)
	server := startFakeServer(c, func(s *fakeServer, conn *net.TCPConn, in *bufio.Reader) {
		const header = "HTTP/1.1 200 OK\r\nPollensail-Request-Id: %s\r\nContent-Length: 3\r\n\r\n"
		head := s.runRequest(in)
		_, _ = fmt.Fprintf(conn, header, head)
		id := s.runRequest(in)
		_, _ = fmt.Fprintf(conn, header+header+"own", head, id)
	})
	transport := newTransport(c, Options{})
	attempt := newAttempt(transport.clock, server.id, longTimeout)
	attempt.Request.Header.SetMethod("HEAD")
	attempt.Request.ResetBody()
	_, response := transport.Do(attempt)
	c.Assert(response, qt.IsNotNil)
	response.Release()
	result, response := transport.Do(newAttempt(transport.clock, server.id, longTimeout))
	c.Check(response, qt.IsNil)
	c.Check(result.Reason, qt.Equals, model.ReasonBadAnswer)
}

// TestCopyOfEarlierAttempt guards against a response to an earlier attempt of a request
// that is taken for the response to the present one: a shed request is sent to the same
// server again, and runs there while the response that shed it comes a second time. The
// request ID is the same in both.
func TestCopyOfEarlierAttempt(t *testing.T) {
	const shed = "HTTP/1.1 503 Service Unavailable\r\nPollensail-Request-Id: %s\r\nPollensail-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
	const served = "HTTP/1.1 200 OK\r\nPollensail-Request-Id: %s\r\nContent-Length: 2\r\n\r\nok"
	for _, between := range []int{0, 1, 10} {
		t.Run(fmt.Sprintf("%d requests between", between), func(t *testing.T) {
			c := qt.New(t)
			var sheds atomic.Int32
			server := startFakeServer(c, func(s *fakeServer, conn *net.TCPConn, in *bufio.Reader) {
				shedID := ""
				for id := s.runRequest(in); id != ""; id = s.runRequest(in) {
					switch {
					case strings.HasPrefix(id, "between"):
					case sheds.Add(1) == 1:
						shedID = id
						_, _ = fmt.Fprintf(conn, shed, id)
						continue
					case id == shedID:
						_, _ = fmt.Fprintf(conn, shed, id)
						time.Sleep(20 * time.Millisecond) // the request runs
					}
					_, _ = fmt.Fprintf(conn, served, id)
				}
			})
			transport := newTransport(c, Options{})
			attempt := newAttempt(transport.clock, server.id, longTimeout)
			result, response := transport.Do(attempt)
			c.Assert(response, qt.IsNil)
			c.Assert(result.Verdict, qt.Equals, model.NotRun)
			for i := range between {
				other := newAttempt(transport.clock, server.id, longTimeout)
				other.RequestID = fmt.Sprintf("between-%d", i)
				_, response = transport.Do(other)
				c.Assert(response, qt.IsNotNil)
				response.Release()
			}
			result, response = transport.Do(attempt)
			c.Check(result.Verdict, qt.Equals, model.Ran)
			c.Assert(response, qt.IsNotNil)
			response.Release()
			c.Check(server.connections(), qt.Equals, 2)
		})
	}
}

// TestManyRequestsOnConnection guards against a connection whose earlier requests are
// forgotten, or remembered without a bound.
func TestManyRequestsOnConnection(t *testing.T) {
	c := qt.New(t)
	const text = "HTTP/1.1 200 OK\r\nPollensail-Request-Id: ID\r\nContent-Length: 0\r\n\r\n"
	server := startFakeServer(c, respondToEach(text))
	transport := newTransport(c, Options{})
	for i := range 2*maxConnRequests + 1 {
		attempt := newAttempt(transport.clock, server.id, longTimeout)
		attempt.RequestID = fmt.Sprintf("request-%d", i)
		_, response := transport.Do(attempt)
		c.Assert(response, qt.IsNotNil)
		response.Release()
	}
	c.Check(server.connections(), qt.Equals, 3)
	c.Check(transport.ConnsOpened(), qt.Equals, uint64(3))
}

// TestAnonymousResponse guards against a response without a request ID that is taken for
// the one to the request under way: a second copy of the response that shed an earlier
// request, or bytes that look like a response and belong to no request. A server that
// sheds a request without an ID is still believed.
func TestAnonymousResponse(t *testing.T) {
	const (
		shed   = "HTTP/1.1 503 Service Unavailable\r\nPollensail-Shed: not-run\r\nContent-Length: 0\r\n\r\n"
		health = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		served = "HTTP/1.1 200 OK\r\nPollensail-Request-Id: %s\r\nContent-Length: 3\r\n\r\nown"
	)
	tests := []struct {
		name   string
		first  string // response to the first request; an ID is filled in
		second string // sent when the second request has arrived on the same connection
		want   model.Verdict
		conns  int
	}{
		{"copy of a shed response", shed, shed, model.Ran, 2},
		{"stray success", served, health, model.MayHaveRun, 1},
		{"shed without an ID", served, shed, model.NotRun, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var requests atomic.Int32
			server := startFakeServer(c, func(s *fakeServer, conn *net.TCPConn, in *bufio.Reader) {
				isUsed := false
				for id := s.runRequest(in); id != ""; id = s.runRequest(in) {
					text := served
					if requests.Add(1) == 1 {
						text = test.first
					}
					if isUsed {
						_, _ = io.WriteString(conn, test.second)
						time.Sleep(20 * time.Millisecond) // the request runs
					}
					isUsed = true
					_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", id))
				}
			})
			transport := newTransport(c, Options{})
			var result model.AttemptResult
			for i := range 2 {
				attempt := newAttempt(transport.clock, server.id, longTimeout)
				attempt.RequestID = fmt.Sprintf("request-%d", i)
				var response *Response
				if result, response = transport.Do(attempt); response != nil {
					response.Release()
				}
			}
			c.Check(result.Verdict, qt.Equals, test.want)
			c.Check(server.connections(), qt.Equals, test.conns)
		})
	}
}
