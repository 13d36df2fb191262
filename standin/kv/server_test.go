package kv

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// send sends a request to the store and returns the status and body, or the status
// 0 if the connection was closed without a response.
func send(s *Server, method, path, body string, header ...string) (status int, text string) {
	defer func() {
		if r := recover(); r != nil {
			if r != http.ErrAbortHandler {
				panic(r)
			}
			status, text = 0, ""
		}
	}()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w.Code, strings.TrimSpace(w.Body.String())
}

// TestProtocol guards against a stand-in that differs from the platform's protocol.
// The steps run in order on one store.
func TestProtocol(t *testing.T) {
	c := qt.New(t)
	s := New()
	const host = `{"role":"entry","domain":"d","peer":"127.0.0.1:1","since":5}`
	const listed = `[{"id":"h","role":"entry","domain":"d","peer":"127.0.0.1:1","since":5}]`
	large := strings.Repeat("x", maxValueBytes+1)
	steps := []struct {
		method, path, body, headerName, headerValue string
		status                                      int
		text                                        string
	}{
		{"GET", "/v1/kv/a/b", "", "", "", 404, "no such key"},
		{"PUT", "/v1/kv/a/b", "1", "", "", 428, "expected If-Match with a version, or If-None-Match: *"},
		{"PUT", "/v1/kv/a/b", "1", "If-Match", `"1"`, 412, "version conflict"},
		{"PUT", "/v1/kv/a/b", "1", "If-None-Match", "*", 200, ""},
		{"PUT", "/v1/kv/a/b", "2", "If-None-Match", "*", 412, "version conflict"},
		{"PUT", "/v1/kv/a/b", "2", "If-Match", `"1"`, 200, ""},
		{"PUT", "/v1/kv/a/b", large, "If-Match", `"2"`, 413, "http: request body too large"},
		{"GET", "/v1/kv/a/b?after=1", "", "", "", 200, "2"},
		{"PUT", "/v1/leases/l", `{"holder":"x","ttl_ms":60000}`, "", "", 200, ""},
		{"PUT", "/v1/leases/l", `{"holder":"y","ttl_ms":60000}`, "", "", 409, "held by another"},
		{"POST", "/standin/lapse/l", "", "", "", 200, ""},
		{"PUT", "/v1/leases/l", `{"holder":"y","ttl_ms":60000}`, "", "", 200, ""},
		{"PUT", "/v1/hosts/h", host, "", "", 200, ""},
		{"GET", "/v1/hosts", "", "", "", 200, listed},
		{"PUT", "/standin/faults", `{"hosts_frozen":true,"lost_answers":1}`, "", "", 200, ""},
		{"DELETE", "/v1/hosts/h", "", "", "", 200, ""},
		{"GET", "/v1/hosts", "", "", "", 200, listed},
		{"PUT", "/v1/kv/a/b", "3", "If-Match", `"2"`, 0, ""},
		{"GET", "/v1/kv/a/b", "", "", "", 200, "3"},
		{"PUT", "/standin/faults", `{"outage":true}`, "", "", 200, ""},
		{"GET", "/v1/kv/a/b", "", "", "", 0, ""},
		{"GET", "/v1/hosts", "", "", "", 200, "[]"},
		{"PUT", "/standin/faults", `{"hosts_outage":true}`, "", "", 200, ""},
		{"GET", "/v1/hosts", "", "", "", 0, ""},
		{"GET", "/standin/calls", "", "", "", 200, `{"reads":2,"writes":10,"watches":1,"hosts":3}`},
		{"PUT", "/standin/faults", `{"outages":true}`, "", "", 400, `json: unknown field "outages"`},
	}
	for i, step := range steps {
		status, text := send(s, step.method, step.path, step.body, step.headerName, step.headerValue)
		c.Assert(status, qt.Equals, step.status, qt.Commentf("step %d: %s %s", i, step.method, step.path))
		c.Assert(text, qt.Equals, step.text, qt.Commentf("step %d", i))
	}
}
