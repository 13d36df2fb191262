package backend

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// TestMalformedResponse guards against a response that violates the grammar of HTTP and
// is delivered: with a status that none has, with a byte in the head that must not be
// there, or with a body that is read in another way than the server meant it. The
// attempt fails, and the server may have run the request.
func TestMalformedResponse(t *testing.T) {
	const fields = "Pollensail-Request-Id: ID\r\nContent-Length: 2\r\n"
	const start = "HTTP/1.1 200 OK\r\n" + fields
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := map[string]string{
		"status 000":                      "HTTP/1.1 000 OK\r\n" + fields + "\r\nok",
		"status 000 after an interim one": "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 OK\r\n" + fields + "\r\nok",
		"status 099":                      "HTTP/1.1 099 OK\r\n" + fields + "\r\nok",
		"status 600":                      "HTTP/1.1 600 OK\r\n" + fields + "\r\nok",
		"status 999":                      "HTTP/1.1 999 OK\r\n" + fields + "\r\nok",
		"status of two digits":            "HTTP/1.1 20 OK\r\n" + fields + "\r\nok",
		"status of four digits":           "HTTP/1.1 2000 OK\r\n" + fields + "\r\nok",
		"two blanks before the status":    "HTTP/1.1  200 OK\r\n" + fields + "\r\nok",
		"tab after the status":            "HTTP/1.1 200\tOK\r\n" + fields + "\r\nok",
		"control byte in the reason":      "HTTP/1.1 200 O\x01K\r\n" + fields + "\r\nok",
		"version 0.9":                     "HTTP/0.9 200 OK\r\n" + fields + "\r\nok",
		"version 1.2":                     "HTTP/1.2 200 OK\r\n" + fields + "\r\nok",
		"version 2.0":                     "HTTP/2.0 200 OK\r\n" + fields + "\r\nok",
		"empty line before the status":    "\r\n" + start + "\r\nok",
		"blank in a name":                 start + "X Y: v\r\n\r\nok",
		"blank before a name":             start + " X: v\r\n\r\nok",
		"blank after a name":              start + "X : v\r\n\r\nok",
		"blank after Content-Length":      "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"tab in a name":                   start + "X\tY: v\r\n\r\nok",
		"tab before a name":               start + "\tX: v\r\n\r\nok",
		"tab before the first name":       "HTTP/1.1 200 OK\r\n\tX: v\r\n" + fields + "\r\nok",
		"control byte in a name":          start + "X\x01Y: v\r\n\r\nok",
		"control byte in a value":         start + "X: v\x01w\r\n\r\nok",
		"CR in a value":                   start + "X: v\rw\r\n\r\nok",
		"DEL in a value":                  start + "X: v\x7fw\r\n\r\nok",
		"no name":                         start + ": v\r\n\r\nok",
		"no colon":                        start + "X\r\n\r\nok",
		"separator in a name":             start + "X(Y): v\r\n\r\nok",
		"byte from 0x80 in a name":        start + "X\x80: v\r\n\r\nok",
		"line ends without CR":            "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
		"folded line":                     start + "X: v\r\n w\r\n\r\nok",
		"blank in a name, interim":        "HTTP/1.1 103 Early\r\nX Y: v\r\n\r\n" + start + "\r\nok",
		"Content-Length with a sign":      "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"Content-Length without a number": "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\nok",
		"HTTP/1.0 in chunks":              "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"blank in a trailer":              chunked + "2\r\nok\r\n0\r\nX Y: v\r\n\r\n",
		"control byte in a trailer":       chunked + "2\r\nok\r\n0\r\nX\x01: v\r\n\r\n",
		"folded trailer":                  chunked + "2\r\nok\r\n0\r\nX: v\r\n w\r\n\r\n",
		"length as a trailer":             chunked + "2\r\nok\r\n0\r\nContent-Length: 2\r\n\r\n",
		"blank before a chunk size":       chunked + " 2\r\nok\r\n0\r\n\r\n",
		"blank after a chunk size":        chunked + "2 \r\nok\r\n0\r\n\r\n",
		"control byte in an extension":    chunked + "2;a=\x01\r\nok\r\n0\r\n\r\n",
		"LF after a chunk size":           chunked + "2\nok\r\n0\r\n\r\n",
	}
	transport := newTransport(t, Options{MaxHeaderBytes: maxHeader})
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := startFakeServer(c, respondOnceAndClose(text))
			result, response := transport.Do(newAttempt(transport.clock, server.id, longTimeout))
			if response != nil {
				c.Errorf("delivered with status %d and body %q", response.Response.StatusCode(), response.Response.Body())
				response.Release()
			}
			c.Check(result.Reason, qt.Equals, model.ReasonBadAnswer)
			c.Check(result.Verdict, qt.Equals, model.MayHaveRun)
		})
	}
}

// TestUnusualResponse guards against rejecting what a sound server may send.
func TestUnusualResponse(t *testing.T) {
	const fields = "Content-Length: 2\r\n"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n"
	tests := map[string]struct {
		text   string
		status int
	}{
		"no reason":                 {"HTTP/1.1 200 \r\n" + fields + "\r\nok", 200},
		"no blank after the status": {"HTTP/1.1 200\r\n" + fields + "\r\nok", 200},
		"reason with all it may be": {"HTTP/1.1 200 \t ~!\x80\xff  \r\n" + fields + "\r\nok", 200},
		"HTTP/1.0":                  {"HTTP/1.0 200 OK\r\n" + fields + "\r\nok", 200},
		"unknown status 299":        {"HTTP/1.1 299 OK\r\n" + fields + "\r\nok", 299},
		"unknown status 599":        {"HTTP/1.1 599 OK\r\n" + fields + "\r\nok", 599},
		"unknown interim status":    {"HTTP/1.1 199 Wait\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "\r\nok", 200},
		"all bytes of a name":       {"HTTP/1.1 200 OK\r\n" + fields + "!#$%&'*+-.^_`|~09azAZ: v\r\n\r\nok", 200},
		"bytes from 0x80 in values": {"HTTP/1.1 200 OK\r\n" + fields + "X: \x80\xff\r\n\r\nok", 200},
		"empty values":              {"HTTP/1.1 200 OK\r\n" + fields + "X:\r\nY: \t\r\n\r\nok", 200},
		"tab in a value":            {"HTTP/1.1 200 OK\r\n" + fields + "X:\ta\tb\r\n\r\nok", 200},
		"chunk extensions":          {chunked + "1;a=b\r\no\r\n01 ;c=\"d e\"\r\nk\r\n0;x\r\n\r\n", 200},
		"trailers":                  {chunked + "2\r\nok\r\n000\r\nX: v\r\nY:\r\n\r\n", 200},
	}
	transport := newTransport(t, Options{MaxHeaderBytes: maxHeader})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := startFakeServer(c, respondOnceAndClose(test.text))
			result, response := transport.Do(newAttempt(transport.clock, server.id, longTimeout))
			c.Assert(response, qt.IsNotNil, qt.Commentf("%v", result))
			defer response.Release()
			c.Check(result.Verdict, qt.Equals, model.Ran)
			c.Check(response.Response.StatusCode(), qt.Equals, test.status)
			c.Check(string(response.Response.Body()), qt.Equals, "ok")
		})
	}
}

// TestMalformedEndOfStream guards against a large response that counts as whole although
// its last chunk or its trailers are malformed: the caller has got a part of it, and must
// not get its end.
func TestMalformedEndOfStream(t *testing.T) {
	const size = 2 * MaxBufferedBody
	start := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", size) + "\r\n"
	for name, end := range map[string]string{
		"trailer":    "0\r\nX Y: v\r\n\r\n",
		"last chunk": "0 \r\n\r\n",
		"chunk":      "+1\r\nx\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := startFakeServer(c, respondOnceAndClose(start+end))
			transport := newTransport(c, Options{MaxHeaderBytes: maxHeader})
			_, response := transport.Do(newAttempt(transport.clock, server.id, longTimeout))
			c.Assert(response, qt.IsNotNil)
			defer response.Release()
			read, err := readStream(response)
			c.Check(read, qt.Equals, size)
			c.Check(err, qt.IsNotNil)
			c.Check(transport.idleConns, qt.HasLen, 0)
		})
	}
}

// readStream reads a streamed response and returns how many bytes it has.
func readStream(response *Response) (int, error) {
	body, _ := response.Stream()
	n, err := io.Copy(io.Discard, body)
	return int(n), err
}
