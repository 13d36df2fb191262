package backend

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRetryAfter guards against a pause that is not read from a refusal, and
// against one that is made up from a field that cannot be read.
func TestRetryAfter(t *testing.T) {
	const refused = "HTTP/1.1 503 Busy\r\nPollensail-Shed: not-run\r\nContent-Length: 0\r\n"
	tests := []struct {
		text      string
		wait      time.Duration
		isInvalid bool
	}{
		{refused + "\r\n", 0, false},
		{refused + "Retry-After: 1.5\r\n\r\n", 1500 * time.Millisecond, false},
		{refused + "Retry-After: soon\r\n\r\n", 0, true},
		{refused + "Retry-After: -3\r\n\r\n", 0, true},
		{refused + "Retry-After: 1\r\nRetry-After: 2\r\n\r\n", 0, true},
		{"HTTP/1.1 200 OK\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", 0, false},
	}
	for _, test := range tests {
		c := qt.New(t)
		server := startFakeServer(c, respondToEach(test.text))
		transport := newTransport(c, Options{})
		result, response := transport.Do(newAttempt(transport.clock, server.id, longTimeout))
		if response != nil {
			response.Release()
		}
		c.Check(result.RetryAfter, qt.Equals, test.wait, qt.Commentf("%q", test.text))
		c.Check(result.InvalidRetryAfter, qt.Equals, test.isInvalid, qt.Commentf("%q", test.text))
	}
}

// TestLeavingServerIsDisconnected guards against connections that stay open to a
// server that has said that it leaves.
func TestLeavingServerIsDisconnected(t *testing.T) {
	c := qt.New(t)
	const text = "HTTP/1.1 200 OK\r\nPollensail-Request-Id: ID\r\nContent-Length: 0\r\n"
	leaving := startFakeServer(c, respondToEach(text+"Pollensail-Server-State: draining\r\n\r\n"))
	staying := startFakeServer(c, respondToEach(text+"\r\n"))
	transport := newTransport(c, Options{})
	for _, server := range []*fakeServer{leaving, staying} {
		_, response := transport.Do(newAttempt(transport.clock, server.id, longTimeout))
		response.Release()
	}
	<-leaving.clientClosed
	c.Check(len(staying.clientClosed), qt.Equals, 0)
	transport.CloseIdle(staying.id)
	<-staying.clientClosed
}
