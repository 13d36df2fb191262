package relay

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// startEcho starts a TCP echo server and returns its address.
func startEcho(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				io.Copy(conn, conn)
			}()
		}
	}()
	return listener.Addr().String()
}

type client struct{ net.Conn }

func dial(c *qt.C, address string) client {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return client{conn}
}

// echo sends one byte and waits for its echo.
func (cl client) echo(within time.Duration) error {
	cl.SetDeadline(time.Now().Add(within))
	if _, err := cl.Write([]byte{'x'}); err != nil {
		return err
	}
	_, err := io.ReadFull(cl, make([]byte, 1))
	return err
}

// dialAndEcho opens a connection and echoes one byte. A connection that is cut
// may be reset before the dial returns.
func dialAndEcho(address string) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer conn.Close()
	return client{conn}.echo(echoTimeout)
}

const (
	dropTimeout = 100 * time.Millisecond
	echoTimeout = 10 * time.Second
)

// TestRules guards against a relay that does not apply a rule, or applies it to
// connections that the rule does not match.
func TestRules(t *testing.T) {
	c := qt.New(t)
	r := New()
	to := startEcho(c)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { r.Serve(ctx, listener, to); close(done) }()
	c.Cleanup(func() { cancel(); <-done })
	address := listener.Addr().String()

	for _, other := range []Rule{{Cut: true, From: "127.0.0.9"}, {Cut: true, To: "127.0.0.1:1"}} {
		r.SetRules([]Rule{other})
		c.Assert(dial(c, address).echo(echoTimeout), qt.IsNil)
	}
	for _, drop := range []Rule{{DropForward: true, To: to}, {DropBack: true, From: "127.0.0.1"}} {
		r.SetRules(nil)
		conn := dial(c, address)
		c.Assert(conn.echo(echoTimeout), qt.IsNil)
		r.SetRules([]Rule{drop})
		c.Assert(conn.echo(dropTimeout), qt.ErrorMatches, ".*timeout")
		r.SetRules(nil)
		err := conn.echo(echoTimeout)
		c.Assert(err, qt.IsNotNil, qt.Commentf("the stream has a gap"))
		c.Assert(err, qt.Not(qt.ErrorMatches), ".*timeout")
	}
	conn := dial(c, address)
	c.Assert(conn.echo(echoTimeout), qt.IsNil)
	r.SetRules([]Rule{{Cut: true}})
	c.Assert(conn.echo(echoTimeout), qt.Not(qt.ErrorMatches), ".*timeout")
	c.Assert(dialAndEcho(address), qt.IsNotNil)

	for _, delay := range []Rule{{DelayMillis: 50}, {StallShare: 1, StallMillis: 50}} {
		r.SetRules([]Rule{delay})
		conn := dial(c, address)
		start := time.Now()
		c.Assert(conn.echo(echoTimeout), qt.IsNil)
		c.Assert(time.Since(start) >= 100*time.Millisecond, qt.IsTrue)
	}
}
