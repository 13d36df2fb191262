package backend

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// respondEndlessly runs one request, writes start, and repeats rest until the
// client closes the connection.
func respondEndlessly(start, rest string) connHandler {
	return func(s *fakeServer, conn *net.TCPConn, in *bufio.Reader) {
		id := s.runRequest(in)
		_, err := io.WriteString(conn, strings.ReplaceAll(start, "ID", id))
		block := strings.Repeat(rest, 1+(1<<10)/len(rest))
		for err == nil {
			_, err = io.WriteString(conn, block)
		}
		s.clientClosed <- struct{}{}
	}
}

// TestEndlessResponse guards against a server that sends bytes without end in a
// header or a body: the attempt has to end by its deadline, without a whole
// answer, and to close the connection.
func TestEndlessResponse(t *testing.T) {
	const okHeader = "HTTP/1.1 200 OK\r\nPollensail-Request-Id: ID\r\n"
	const chunkedHeader = okHeader + "Transfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name        string
		start, rest string
		isImmediate bool // detected long before the deadline
	}{
		{"no line end", "", "x", true},
		{"no line end, zero bytes", "", "\x00", true},
		{"line ends only", "", "\r\n", true},
		{"status line without end", "HTTP/1.1 200 ", "x", true},
		{"header fields without end", okHeader, "X: y\r\n", true},
		{"one header field without end", okHeader + "X: ", "y", true},
		{"interim responses without end", "", "HTTP/1.1 103 Early Hints\r\n\r\n", true},
		{"chunk size without end", chunkedHeader, "1", true},
		{"chunk extension without end", chunkedHeader + "1;", "x", true},
		{"spaces after a chunk size", chunkedHeader + "1", " ", false},
		{"trailer fields without end", chunkedHeader + "2\r\nok\r\n0\r\n", "X: y\r\n", true},
		{"one trailer field without end", chunkedHeader + "2\r\nok\r\n0\r\nX: ", "y", true},
		{"chunks without end", chunkedHeader, "2\r\nok\r\n", false},
		{"body without length", okHeader + "\r\n", "x", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			server := startFakeServer(c, respondEndlessly(test.start, test.rest))
			transport := newTransport(c, Options{MaxHeaderBytes: maxHeader})
			timeout := 3 * shortTimeout
			if test.isImmediate {
				timeout = longTimeout
			}
			began := time.Now()
			result, response := transport.Do(newAttempt(transport.clock, server.id, timeout))
			if response == nil {
				c.Check(result.Verdict, qt.Equals, model.MayHaveRun)
				c.Check(result.Reason, qt.Not(qt.Equals), model.Reason(""))
			} else {
				checkNoEnd(c, response)
			}
			c.Check(time.Since(began) < longTimeout/5, qt.IsTrue)
			server.checkClosed(c)
		})
	}
}

// checkNoEnd checks that the body of a response is streamed and fails.
func checkNoEnd(c *qt.C, response *Response) {
	defer response.Release()
	c.Assert(response.Streaming(), qt.IsTrue)
	body, _ := response.Stream()
	_, err := io.Copy(io.Discard, body)
	c.Check(err, qt.IsNotNil)
}

// checkClosed checks that the client closes a connection.
func (s *fakeServer) checkClosed(c *qt.C) {
	select {
	case <-s.clientClosed:
	case <-time.After(longTimeout):
		c.Error("the connection stays open")
	}
}

// TestEndlessBytesAfterAnswer guards against surplus bytes after a whole answer
// that become part of an answer, and against a connection that stays open for
// them.
func TestEndlessBytesAfterAnswer(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nPollensail-Request-Id: ID\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 204 No Content\r\n\r\n",
	} {
		c := qt.New(t)
		server := startFakeServer(c, respondEndlessly(answer, "x"))
		transport := newTransport(c, Options{MaxHeaderBytes: maxHeader})
		for range 3 {
			result, response := transport.Do(newAttempt(transport.clock, server.id, longTimeout))
			if response == nil {
				c.Check(result.Verdict, qt.Equals, model.MayHaveRun)
				continue
			}
			c.Check(len(response.Response.Body()) <= len("ok"), qt.IsTrue)
			response.Release()
		}
		// A connection may be used again before the first surplus byte arrives; the
		// attempt then fails.
		c.Check(server.connections() > 1, qt.IsTrue)
		server.checkClosed(c)
	}
}
