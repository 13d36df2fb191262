package frontend

import (
	"encoding/json"
	"net/url"
	"path"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/host/wire"
)

// TestMalformed checks that ambiguous or malformed requests are refused with the
// verdict not run, and reach neither the reducer nor a server.
func TestMalformed(t *testing.T) {
	c := qt.New(t)
	server, h := startHostAndServer(c, helloResponse)
	const get, post = "GET /a HTTP/1.1\r\nHost: h\r\n", "POST /a HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name    string
		request string
		status  int
	}{
		{"length and chunks", post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", 400},
		{"chunks and length", post + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n", 400},
		{"two lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
		{"two lengths alike", post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
		{"length list", post + "Content-Length: 1, 1\r\n\r\na", 400},
		{"length with sign", post + "Content-Length: +1\r\n\r\na", 400},
		{"length negative", post + "Content-Length: -1\r\n\r\n", 400},
		{"length too great", post + "Content-Length: 99999999999999999999\r\n\r\n", 400},
		{"identity encoding", post + "Transfer-Encoding: identity\r\n\r\n", 400},
		{"other encoding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
		{"space before the colon", post + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400},
		{"chunk size invalid", post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", 400},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", 400},
		{"two hosts", get + "Host: i\r\n\r\n", 400},
		{"old protocol", "GET /a HTTP/1.0\r\nHost: h\r\n\r\n", 400},
		{"no protocol", "HELO there\r\n\r\n", 400},
		{"null in a field", get + "X: a\x00b\r\n\r\n", 400},
		{"blank in a name", get + "X Y: v\r\n\r\n", 400},
		{"blank before a name", "GET /a HTTP/1.1\r\n X: v\r\nHost: h\r\n\r\n", 400},
		{"blank in a trailer", post + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX Y: v\r\n\r\n", 400},
		{"authority as target", "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"star as target", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"whole URI as target", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"dot segments", "GET /a/../b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"dot segments encoded", "GET /a/%2e%2E/b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"slash encoded", "GET /a%2fb HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"empty segment", "GET /a//b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"encoding cut", "GET /a%2 HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"fragment", "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"backslash", "GET /a\\b HTTP/1.1\r\nHost: h\r\n\r\n", 400},
		{"timeout without unit", get + "Pollensail-Timeout: 800\r\n\r\n", 400},
		{"timeout negative", get + "Pollensail-Timeout: -1s\r\n\r\n", 400},
		{"timeout zero", get + "Pollensail-Timeout: 0s\r\n\r\n", 400},
		{"timeout absurd", get + "Pollensail-Timeout: 9000h\r\n\r\n", 400},
		{"two timeouts", get + "Pollensail-Timeout: 1s\r\nPollensail-Timeout: 2s\r\n\r\n", 400},
		{"idempotency key empty", get + "Idempotency-Key: \"\"\r\n\r\n", 400},
		{"idempotency key too long", get + "Idempotency-Key: " + strings.Repeat("k", 300) + "\r\n\r\n", 400},
		{"two idempotency keys", get + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400},
		{"header too large", get + "X: " + strings.Repeat("x", 9<<10) + "\r\n\r\n", 431},
		{"body too large", post + "Content-Length: 1048577\r\n\r\n", 413},
		{"chunks too large", post + "Transfer-Encoding: chunked\r\n\r\n100001\r\n" + strings.Repeat("x", 1<<20) + "x\r\n", 413},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			response, body := call(c, h.address, test.request)
			c.Check(response.StatusCode, qt.Equals, test.status)
			c.Check(response.Close, qt.IsTrue)
			c.Check(response.Header.Get(wire.Verdict), qt.Equals, "not-run")
			c.Check(response.Header.Get(wire.RequestID), qt.Not(qt.Equals), "")
			c.Check(json.Valid([]byte(body)), qt.IsTrue)
			c.Check(server.drain(), qt.Equals, "")
			c.Check(h.drainArrived(), qt.HasLen, 0)
		})
	}
	c.Check(h.frontend.RejectedUnread(), qt.Equals, uint64(len(tests)))
}

// FuzzTarget guards against matching routes with a path that other parsers of
// the same target decode differently.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{"/a/b?c=d", "/a%20b", "/%2e%2e/b", "/a%2Fb", "//a", "/a/./b", "/%", "/a/"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, reqErr := parseTarget(raw)
		if reqErr != nil {
			return
		}
		want, err := url.PathUnescape(string(got.path))
		if err != nil || got.decodedPath != want {
			t.Errorf("%q is read as %q, want %q, %v", raw, got.decodedPath, want, err)
		}
		if clean := path.Clean(want); clean != want && clean+"/" != want {
			t.Errorf("%q is read as %q, which is not clean", raw, want)
		}
	})
}
