package frontend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/host/wire"
)

// TestStopClosesUnusedConnections guards against a planned stop that waits for the
// read timeout of connections on which no request was ever sent. The process is
// killed before that, with requests that came late on such connections in flight.
func TestStopClosesUnusedConnections(t *testing.T) {
	c := qt.New(t)
	_, h := startHostAndServer(c, helloResponse)
	var unused []*bufio.Reader
	for range 5 {
		_, in := dial(c, h.address)
		unused = append(unused, in)
	}
	call(c, h.address, getRequest) // the connections before it have been accepted
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c.Assert(h.frontend.Shutdown(ctx), qt.IsNil)
	for _, in := range unused {
		_, err := in.ReadByte()
		c.Check(err, qt.ErrorIs, io.EOF)
	}
}

// TestStopWaitsForRequestBeingRead guards against a stop that closes a connection
// on which a request has begun to arrive.
func TestStopWaitsForRequestBeingRead(t *testing.T) {
	c := qt.New(t)
	_, h := startHostAndServer(c, helloResponse)
	for _, isUsed := range []bool{false, true} {
		conn, in := dial(c, h.address)
		if isUsed {
			_, _ = io.WriteString(conn, getRequest)
			readResponse(c, in, "GET")
		}
		half := len(getRequest) / 2
		_, _ = io.WriteString(conn, getRequest[:half])
		defer func() {
			_, _ = io.WriteString(conn, getRequest[half:])
			response, _ := readResponse(c, in, "GET")
			c.Check(response.StatusCode, qt.Equals, 200)
		}()
	}
	time.Sleep(50 * time.Millisecond) // the first halves have been read
	go func() { _ = h.frontend.Shutdown(context.Background()) }()
	awaitRefusedDial(c, h.address)
}

// TestNoRequestIsCutOffByStop guards against a stop that closes a connection from
// which a request was read and passed on. Requests come at any moment around the
// stop, on connections that are new, idle or in use.
func TestNoRequestIsCutOffByStop(t *testing.T) {
	const (
		callers  = 200
		spread   = 400 * time.Millisecond
		workTime = 5 * time.Millisecond
	)
	c := qt.New(t)
	var ran sync.Map
	h := startHost(c, func(conn net.Conn, in *bufio.Reader) {
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			ran.Store(request.URL.Path, true)
			time.Sleep(workTime)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nhello",
				wire.RequestID, request.Header.Get(wire.RequestID))
		}
	})
	go func() {
		for range h.sent {
		}
	}()
	var group sync.WaitGroup
	for i := range callers {
		conn, in := dial(c, h.address)
		group.Go(func() {
			for n := 0; ; n++ {
				time.Sleep(time.Duration(rand.Int64N(int64(spread))))
				path := fmt.Sprintf("/%d/%d", i, n)
				_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
				response, err := http.ReadResponse(in, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
				}
				if _, hasRun := ran.Load(path); err != nil {
					c.Check(hasRun, qt.IsFalse, qt.Commentf("%s ran, and its connection ended: %v", path, err))
					return
				}
			}
		})
	}
	time.Sleep(spread)
	c.Check(h.frontend.Shutdown(context.Background()), qt.IsNil)
	group.Wait()
}
