package frontend

import (
	"bufio"
	"bytes"
	"net"
	"testing"
)

// BenchmarkForward measures one request through the host and back, on loopback
// connections that are kept, with a stub in place of the reducer. Caller and
// server are part of it but allocate nothing; direct is their share of the
// time.
func BenchmarkForward(b *testing.B) {
	request := []byte("GET /birds/4711?full=1 HTTP/1.1\r\nHost: rings.example\r\nX-Api-Key: 0123456789abcdef\r\nUser-Agent: field/1\r\nAccept: application/json\r\n\r\n")
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nPollensail-Load: 1/6\r\nContent-Length: 32\r\n\r\n" + "{\"ring\":4711,\"bird\":\"Larus_x\"}\r\n")
	h := startHost(b, func(conn net.Conn, in *bufio.Reader) {
		for skipHeader(in) {
			_, _ = conn.Write(answer)
		}
	})
	h.keepsNothing = true
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
			b.Fatal("no answer")
		}
		if _, err := in.Discard(32); err != nil {
			b.Fatal(err)
		}
	}
}

// skipHeader reads up to an empty line.
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
