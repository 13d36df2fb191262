package frontend

import (
	"bufio"
	"bytes"
	"net"
	"testing"
)

// BenchmarkForward measures a request through the front end to a server and
// back, on persistent loopback connections, with a stub in place of the reducer.
// It includes the caller and the server, which allocate nothing; "direct" shows
// their share of the time.
func BenchmarkForward(b *testing.B) {
	request := []byte("GET /birds/4711?full=1 HTTP/1.1\r\nHost: rings.example\r\nX-Api-Key: 0123456789abcdef\r\nUser-Agent: field/1\r\nAccept: application/json\r\n\r\n")
	response := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nPollensail-Load: 1/6\r\nContent-Length: 32\r\n\r\n" + "{\"ring\":4711,\"bird\":\"Larus_x\"}\r\n")
	h := startHost(b, func(conn net.Conn, in *bufio.Reader) {
		for skipHeader(in) {
			_, _ = conn.Write(response)
		}
	})
	h.discardsArrivals = true
	go func() {
		for range h.sent {
		}
	}()
	b.Run("direct", func(b *testing.B) { benchCalls(b, string(h.server), request) })
	b.Run("through host", func(b *testing.B) { benchCalls(b, h.address, request) })
}

func benchCalls(b *testing.B, address string, request []byte) {
	conn, in := dial(b, address)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		if !skipHeader(in) {
			b.Fatal("no response")
		}
		if _, err := in.Discard(32); err != nil {
			b.Fatal(err)
		}
	}
}

// skipHeader reads up to an empty line. It returns false at the end of the
// connection.
func skipHeader(in *bufio.Reader) bool {
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return false
		}
		if bytes.Equal(line, []byte("\r\n")) {
			return true
		}
	}
}
