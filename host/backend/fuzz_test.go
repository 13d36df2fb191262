package backend

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"pollensail.dev/decision/model"
)

// FuzzAnswer guards against an answer that is taken as whole although another
// reader finds another body in it, or as proof that nothing ran without saying
// so.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 Busy\r\nPollensail-Shed: not-run\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\nContent-Length: 2\n\nok"))
	var text atomic.Pointer[[]byte]
	server := startFake(f, func(_ *fakeServer, conn *net.TCPConn, in *bufio.Reader) {
		_, _ = http.ReadRequest(in)
		_, _ = conn.Write(*text.Load())
	})
	transport := newTransport(f, Options{})
	f.Fuzz(func(t *testing.T, data []byte) {
		text.Store(&data)
		result, answer := transport.Do(testAttempt(transport.clock, server.id, ample))
		if result.Verdict == model.NotRun && !bytes.Contains(data, []byte("not-run")) {
			t.Errorf("%q is taken as not run", data)
		}
		if answer == nil || answer.Streaming() {
			return
		}
		defer answer.Release()
		if want, ok := readOther(data); ok && !bytes.Equal(answer.Response.Body(), want) {
			t.Errorf("%q has body %q, want %q", data, answer.Response.Body(), want)
		}
	})
}

// readOther reads an answer with net/http. It reports false where that does
// not accept it.
func readOther(data []byte) ([]byte, bool) {
	in := bufio.NewReader(bytes.NewReader(data))
	for {
		response, err := http.ReadResponse(in, &http.Request{Method: "POST"})
		if err != nil {
			return nil, false
		}
		if response.StatusCode >= 200 {
			body, err := io.ReadAll(response.Body)
			return body, err == nil
		}
	}
}
