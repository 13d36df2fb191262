package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/backend"
	"pollensail.dev/host/wire"
)

const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"

// TestStreamedAnswer guards large answers: a whole one counts as complete, and
// one that breaks off at the server is seen as truncated by the caller.
func TestStreamedAnswer(t *testing.T) {
	body := strings.Repeat("season 1987 ", backend.WholeAnswer/4)
	known := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(body))
	tests := []struct {
		name  string
		text  string
		whole bool
	}{
		{"known length", known + body, true},
		{"chunked", chunked + body + "\r\n0\r\n\r\n", true},
		{"known length, cut", known + body[1:], false},
		{"chunked, cut", chunked + body[1:], false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := clock{time.Now()}
			server := startServer(c, func(conn net.Conn, in *bufio.Reader) {
				_, _ = http.ReadRequest(in)
				_, _ = io.WriteString(conn, test.text)
			})
			h := startHost(c, clock, forwardTo(server, clock))
			conn, in := dial(c, h.address)
			_, _ = io.WriteString(conn, get)
			response, err := http.ReadResponse(in, nil)
			c.Assert(err, qt.IsNil)
			got, err := io.ReadAll(response.Body)
			c.Check(err == nil, qt.Equals, test.whole)
			c.Check(string(got) == body, qt.Equals, test.whole)
			sent := <-h.sent
			c.Check(sent.Complete, qt.Equals, test.whole)
			c.Check(sent.ServerFailed, qt.Equals, !test.whole)
		})
	}
}

// TestCallerLeaves guards the report of an answer that its caller did not
// take, and the cancellation of work for a caller that is gone.
func TestCallerLeaves(t *testing.T) {
	c := qt.New(t)
	clock := clock{time.Now()}
	asked := make(chan struct{})
	cancelled := make(chan struct{})
	server := startServer(c, func(conn net.Conn, in *bufio.Reader) {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if request.URL.Path == "/endless" {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10000000000\r\n\r\n")
			_, _ = io.Copy(conn, endless{})
			cancelled <- struct{}{}
			return
		}
		asked <- struct{}{}
		_, _ = in.ReadByte()
		cancelled <- struct{}{}
	})
	h := startHost(c, clock, forwardTo(server, clock))

	conn, _ := dial(c, h.address)
	_, _ = io.WriteString(conn, get)
	<-asked
	_ = conn.Close()
	<-cancelled
	<-h.sent

	conn, in := dial(c, h.address)
	_, _ = io.WriteString(conn, "GET /endless HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err := http.ReadResponse(in, nil)
	c.Assert(err, qt.IsNil)
	_ = conn.Close()
	sent := <-h.sent
	c.Check(sent.Complete, qt.IsFalse)
	c.Check(sent.ServerFailed, qt.IsFalse)
	<-cancelled
}

// endless is a body without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestPipelined guards requests that a caller sends without waiting: each gets
// its own answer, which counts as complete.
func TestPipelined(t *testing.T) {
	c := qt.New(t)
	_, h := startPair(c, hello)
	conn, in := dial(c, h.address)
	_, _ = io.WriteString(conn, get+get+get)
	ids := map[string]bool{}
	for range 3 {
		response, body := readAnswer(c, in, "GET")
		c.Check(body, qt.Equals, "hello")
		c.Check((<-h.sent).Complete, qt.IsTrue)
		ids[response.Header.Get(wire.RequestID)] = true
	}
	c.Check(ids, qt.HasLen, 3)
}

// TestPlannedStop guards against a stop that cuts a request: keep-alive ends
// first, and Shutdown waits for the answer of a request in flight.
func TestPlannedStop(t *testing.T) {
	c := qt.New(t)
	_, h := startPair(c, hello)
	conn, in := dial(c, h.address)
	_, _ = io.WriteString(conn, get)
	response, _ := readAnswer(c, in, "GET")
	c.Assert(response.Close, qt.IsFalse)
	h.frontend.BeginStop()
	arrived := make(chan model.RequestID, 1)
	h.decide = func(body event.Body) effect.Effect {
		if body, ok := body.(event.RequestArrived); ok {
			arrived <- body.Request
		}
		return nil
	}
	_, _ = io.WriteString(conn, get)
	id := <-arrived
	stopped := make(chan error, 1)
	go func() { stopped <- h.frontend.Shutdown(context.Background()) }()
	awaitRefusedDial(c, h.address)
	h.frontend.Apply(effect.Refuse{Request: id, Reason: model.ReasonOverloaded, Verdict: model.NotRun})
	response, _ = readAnswer(c, in, "GET")
	c.Check(response.StatusCode, qt.Equals, 503)
	c.Check(response.Close, qt.IsTrue)
	c.Check(<-stopped, qt.IsNil)
}

// awaitRefusedDial waits until nothing listens on an address.
func awaitRefusedDial(c *qt.C, address string) {
	for limit := time.Now().Add(5 * time.Second); ; {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
		c.Assert(time.Now().Before(limit), qt.IsTrue)
	}
}

// TestLoopEnded guards against requests that wait forever for a loop that has
// ended, or are refused with a verdict that is not known.
func TestLoopEnded(t *testing.T) {
	c := qt.New(t)
	_, h := startPair(c, hello)
	forward := h.decide
	arrived := make(chan struct{}, 1)
	ended := make(chan struct{}, 1)
	h.decide = func(body event.Body) effect.Effect {
		switch body.(type) {
		case event.RequestArrived:
			arrived <- struct{}{}
		case event.AttemptEnded:
			ended <- struct{}{}
			return nil
		}
		return forward(body)
	}
	conn, in := dial(c, h.address)
	_, _ = io.WriteString(conn, get)
	<-ended
	<-arrived
	h.decide = func(event.Body) effect.Effect {
		arrived <- struct{}{}
		return nil
	}
	waiting, waitingIn := dial(c, h.address)
	_, _ = io.WriteString(waiting, get)
	<-arrived
	h.frontend.Abandon()
	for in, verdict := range map[*bufio.Reader]string{in: "ran", waitingIn: "not-run"} {
		response, body := readAnswer(c, in, "GET")
		c.Check(response.StatusCode, qt.Equals, 503)
		c.Check(response.Header.Get(wire.Verdict), qt.Equals, verdict)
		c.Check(body, qt.Contains, `"reason":"stopping"`)
	}
}
