package backend

import (
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

// Answer is a backend server's answer. Response has its header, and its body
// unless Streaming.
type Answer struct {
	Response fasthttp.Response
	stream   *stream
}

var answers = sync.Pool{New: func() any { return new(Answer) }}

func acquireAnswer() *Answer { return answers.Get().(*Answer) }

// Release ends the use of the answer. A stream that was not read to its end
// closes its connection.
func (a *Answer) Release() {
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
	_ = a.Response.CloseBodyStream()
	a.Response.Reset()
	a.Response.StreamBody = false
	a.Response.SkipBody = false
	answers.Put(a)
}

// Streaming reports whether the body still flows from the server.
func (a *Answer) Streaming() bool { return a.stream != nil }

// Stream returns the body of a streaming answer and its size in bytes, -1
// where it is not known. Reading it fails where the answer is truncated.
func (a *Answer) Stream() (body io.Reader, size int) { return a.stream, a.stream.size }

// stream is the body of a streaming answer. It holds the connection until
// Close.
type stream struct {
	transport *Transport
	conn      *conn
	response  *fasthttp.Response
	prefix    []byte
	size      int
	ended     bool // the whole body was read
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	if s.ended {
		return 0, io.EOF
	}
	n, err := s.response.BodyStream().Read(p)
	s.ended = err == io.EOF
	return n, err
}

// Close gives up the connection.
func (s *stream) Close() error {
	if s.conn == nil {
		return nil
	}
	keep := s.ended && s.conn.reader.Buffered() == 0 && !s.response.ConnectionClose()
	_ = s.response.CloseBodyStream() // it refers to the connection's reader
	if keep {
		s.transport.put(s.conn)
	} else {
		s.conn.close()
	}
	s.conn = nil
	return nil
}
