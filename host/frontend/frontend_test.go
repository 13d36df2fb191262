package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/backend"
)

// clock is a test's backend.Clock.
type clock struct{ start time.Time }

func (c clock) Now() model.Instant              { return model.Instant(time.Since(c.start)) }
func (c clock) Time(at model.Instant) time.Time { return c.start.Add(time.Duration(at)) }

// reducer stands in for the control loop: it answers each event with the
// effect that decide returns and keeps the events.
type reducer struct {
	frontend *Frontend
	decide   func(event.Body) effect.Effect

	mu     sync.Mutex
	events []event.Body
	sent   chan event.AnswerSent
}

func (r *reducer) Post(body event.Body) bool {
	r.mu.Lock()
	r.events = append(r.events, body)
	r.mu.Unlock()
	if sent, ok := body.(event.AnswerSent); ok {
		r.sent <- sent
		return true
	}
	if e := r.decide(body); e != nil {
		r.frontend.Apply(e)
	}
	return true
}

// forwardTo forwards each request to a server and delivers whole answers.
func forwardTo(server model.ServerID, clock clock) func(event.Body) effect.Effect {
	return func(body event.Body) effect.Effect {
		switch body := body.(type) {
		case event.RequestArrived:
			return effect.Forward{
				Request:  body.Request,
				Server:   server,
				NotAfter: model.Never,
				Deadline: clock.Now().Add(10 * time.Second),
			}
		case event.AttemptEnded:
			if body.Result.Reason != "" {
				return effect.Refuse{Request: body.Request, Reason: body.Result.Reason, Verdict: body.Result.Verdict}
			}
			return effect.Deliver{Request: body.Request}
		}
		return nil
	}
}

// host is a front end that serves a listener of its own.
type host struct {
	*reducer
	address string
}

func startHost(c testing.TB, clock clock, decide func(event.Body) effect.Effect) host {
	r := &reducer{decide: decide, sent: make(chan event.AnswerSent, 100)}
	transport := backend.New(clock, backend.Options{})
	r.frontend = New(r, transport, Options{MaxBody: 1 << 20, ReadTimeout: 5 * time.Second})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c, err, qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- r.frontend.Serve(ln) }()
	c.Cleanup(func() {
		_ = ln.Close()
		<-served
		transport.Close()
	})
	return host{r, ln.Addr().String()}
}

// startServer serves raw connections with handle and closes them after.
func startServer(c testing.TB, handle func(net.Conn, *bufio.Reader)) model.ServerID {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(c, err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return model.ServerID(ln.Addr().String())
}

// exchangeRaw writes a request and reads its answer.
func exchangeRaw(c *qt.C, address, request string) (*http.Response, string) {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	method, _, _ := strings.Cut(request, " ")
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response, string(body)
}

// TestForwardAndRefuse guards the simple path: one request is forwarded and
// its answer delivered, another is refused with its verdict.
func TestForwardAndRefuse(t *testing.T) {
	c := qt.New(t)
	clock := clock{time.Now()}
	server := startServer(c, func(conn net.Conn, in *bufio.Reader) {
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			id := request.Header.Get("Pollensail-Request-Id")
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nPollensail-Request-Id: "+id+"\r\nContent-Length: 5\r\n\r\nhello")
		}
	})
	h := startHost(c, clock, forwardTo(server, clock))
	response, body := exchangeRaw(c, h.address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(body, qt.Equals, "hello")
	c.Assert(response.Header.Get("Pollensail-Verdict"), qt.Equals, "ran")
	c.Assert((<-h.sent).Complete, qt.IsTrue)

	h.decide = func(body event.Body) effect.Effect {
		arrived, _ := body.(event.RequestArrived)
		return effect.Refuse{Request: arrived.Request, Reason: model.ReasonOverRate, Verdict: model.NotRun, RetryAfter: model.Instant(1500 * time.Millisecond)}
	}
	response, body = exchangeRaw(c, h.address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(response.StatusCode, qt.Equals, 429)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "2")
	c.Assert(response.Header.Get("Pollensail-Verdict"), qt.Equals, "not-run")
	c.Assert(body, qt.Equals, `{"reason":"over_rate","verdict":"not-run","message":"the client account is over its rate"}`)
	c.Assert((<-h.sent).Complete, qt.IsTrue)
}
