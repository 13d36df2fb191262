package frontend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/backend"
	"pollensail.dev/host/wire"
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

	mu      sync.Mutex
	arrived []event.RequestArrived
	sent    chan event.AnswerSent
}

func (r *reducer) Post(body event.Body) bool {
	if arrived, ok := body.(event.RequestArrived); ok {
		r.mu.Lock()
		r.arrived = append(r.arrived, arrived)
		r.mu.Unlock()
	}
	if sent, ok := body.(event.AnswerSent); ok {
		r.sent <- sent
		return true
	}
	if e := r.decide(body); e != nil {
		r.frontend.Apply(e)
	}
	return true
}

// takeArrived returns the requests that arrived since the last call.
func (r *reducer) takeArrived() []event.RequestArrived {
	r.mu.Lock()
	defer r.mu.Unlock()
	arrived := r.arrived
	r.arrived = nil
	return arrived
}

// answerWith answers each request with one effect.
func (r *reducer) answerWith(answer func(model.RequestID) effect.Effect) {
	r.decide = func(body event.Body) effect.Effect {
		arrived, _ := body.(event.RequestArrived)
		return answer(arrived.Request)
	}
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

// dial opens a caller's connection.
func dial(c testing.TB, address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", address)
	qt.Assert(c, err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

// readAnswer reads one answer to a request with method.
func readAnswer(c *qt.C, in *bufio.Reader, method string) (*http.Response, string) {
	response, err := http.ReadResponse(in, &http.Request{Method: method})
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return response, string(body)
}

// call sends a request on a connection of its own and reads the answer.
func call(c *qt.C, address, request string) (*http.Response, string) {
	conn, in := dial(c, address)
	_, err := io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	method, _, _ := strings.Cut(request, " ")
	return readAnswer(c, in, method)
}

// recorder is a backend server that keeps the bytes that it received.
type recorder struct {
	id model.ServerID

	mu       sync.Mutex
	received bytes.Buffer
}

// startRecorder answers each request with text, ID standing for its id.
func startRecorder(c testing.TB, text string) *recorder {
	r := new(recorder)
	r.id = startServer(c, func(conn net.Conn, in *bufio.Reader) {
		in = bufio.NewReader(io.TeeReader(in, r))
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			id := request.Header.Get(wire.RequestID)
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", id))
		}
	})
	return r
}

func (r *recorder) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.received.Write(p)
}

// take returns what was received since the last call.
func (r *recorder) take() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.received.Reset()
	return r.received.String()
}

const hello = "HTTP/1.1 200 OK\r\n" + wire.RequestID + ": ID\r\nContent-Length: 5\r\n\r\nhello"

// startPair starts a recorder and a host that forwards to it.
func startPair(c testing.TB, text string) (*recorder, host) {
	clock := clock{time.Now()}
	server := startRecorder(c, text)
	return server, startHost(c, clock, forwardTo(server.id, clock))
}

// TestForwardAndRefuse guards the simple path: one request is forwarded and
// its answer delivered, another is refused with its verdict.
func TestForwardAndRefuse(t *testing.T) {
	c := qt.New(t)
	_, h := startPair(c, hello)
	response, body := call(c, h.address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(response.StatusCode, qt.Equals, 200)
	c.Assert(body, qt.Equals, "hello")
	c.Assert(response.Header.Get(wire.Verdict), qt.Equals, "ran")
	c.Assert(response.Header.Get(wire.RequestID), qt.Not(qt.Equals), "")
	c.Assert((<-h.sent).Complete, qt.IsTrue)

	h.answerWith(func(id model.RequestID) effect.Effect {
		return effect.Refuse{Request: id, Reason: model.ReasonOverRate, Verdict: model.NotRun, RetryAfter: model.Instant(1500 * time.Millisecond)}
	})
	response, body = call(c, h.address, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(response.StatusCode, qt.Equals, 429)
	c.Assert(response.Header.Get("Retry-After"), qt.Equals, "2")
	c.Assert(response.Header.Get(wire.Verdict), qt.Equals, "not-run")
	c.Assert(body, qt.Equals, `{"reason":"over_rate","verdict":"not-run","message":"the client account is over its rate"}`)
	c.Assert((<-h.sent).Complete, qt.IsTrue)
}

// TestReplay guards the marking of a retained answer.
func TestReplay(t *testing.T) {
	c := qt.New(t)
	_, h := startPair(c, hello)
	answer := model.Answer{Status: 201, Header: []model.Field{{Name: "X-Ring", Value: "4711"}}, Body: []byte("filed")}
	h.answerWith(func(id model.RequestID) effect.Effect {
		return effect.Replay{Request: id, Answer: answer}
	})
	response, body := call(c, h.address, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	c.Assert(response.StatusCode, qt.Equals, 201)
	c.Assert(response.Header.Get("X-Ring"), qt.Equals, "4711")
	c.Assert(response.Header.Get(wire.Replayed), qt.Equals, "true")
	c.Assert(response.Header.Get(wire.Verdict), qt.Equals, "ran")
	c.Assert(body, qt.Equals, "filed")
}

// TestPassedOn guards what reaches the other side: end-to-end fields and the
// body do, fields of one connection and of the fleet do not.
func TestPassedOn(t *testing.T) {
	c := qt.New(t)
	server, h := startPair(c, "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"+
		"Pollensail-Load: 1/6\r\nPollensail-Verdict: not-run\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nContent-Length: 0\r\n\r\n")
	response, _ := call(c, h.address, "PUT /a%20b?c=%41&d HTTP/1.1\r\nHost: rings.example\r\nConnection: keep-alive, x-hop\r\nX-Hop: 1\r\n"+
		"TE: trailers\r\nTrailer: X-Sum\r\nX-End: 2\r\nUser-Agent: field/1\r\nCookie: a=1; b=2\r\nPollensail-Verdict: ran\r\n"+
		"Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nring\r\n0\r\nX-Sum: 9\r\n\r\n")
	got := server.take()
	head, body, _ := strings.Cut(got, "\r\n\r\n")
	lines := strings.Split(head, "\r\n")
	slices.Sort(lines)
	c.Check(body, qt.Equals, "ring")
	c.Check(slices.DeleteFunc(lines, func(line string) bool { return strings.HasPrefix(line, "Pollensail-") }), qt.DeepEquals, []string{
		"Content-Length: 4", "Cookie: a=1; b=2", "Host: rings.example", "Idempotency-Key: k",
		"PUT /a%20b?c=%41&d HTTP/1.1", "User-Agent: field/1", "X-End: 2",
	})
	c.Check(head, qt.Matches, `(?s).*Pollensail-Timeout: \d+ms.*`)
	c.Check(response.Header["X-End"], qt.DeepEquals, []string{"2"})
	c.Check(response.Header["Set-Cookie"], qt.DeepEquals, []string{"a=1", "b=2"})
	c.Check(response.Header["X-Hop"], qt.IsNil)
	c.Check(response.Header["Pollensail-Load"], qt.IsNil)
	c.Check(response.Header[wire.Verdict], qt.DeepEquals, []string{"ran"})
}

// TestBodiless guards answers without a body: their length must not make the
// caller wait for one.
func TestBodiless(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct{ method, text string }{
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n"},
	} {
		_, h := startPair(c, test.text)
		request := test.method + " /a HTTP/1.1\r\nHost: h\r\n\r\n"
		conn, in := dial(c, h.address)
		for range 2 {
			_, _ = io.WriteString(conn, request)
			response, body := readAnswer(c, in, test.method)
			c.Check(response.Header.Get(wire.Verdict), qt.Equals, "ran")
			c.Check(body, qt.Equals, "")
			c.Check((<-h.sent).Complete, qt.IsTrue)
		}
	}
}
