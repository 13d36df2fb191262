package backend

import (
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

// Answer is a response of a backend server. Its field Response has the header,
// and the body unless Streaming.
type Answer struct {
	Response fasthttp.Response
	stream   *stream
}

var responsePool = sync.Pool{New: func() any { return new(Answer) }}

func acquireResponse() *Answer { return responsePool.Get().(*Answer) }

// Release returns the response to its pool; it must not be used afterwards. If
// the body was not streamed to its end, the connection is closed.
func (a *Answer) Release() {
	if a.stream != nil {
		_ = a.stream.Close()
		a.stream = nil
	}
	_ = a.Response.CloseBodyStream()
	a.Response.Reset()
	a.Response.StreamBody = false
	a.Response.SkipBody = false
	responsePool.Put(a)
}

// Streaming reports whether the body has to be read from Stream.
func (a *Answer) Streaming() bool { return a.stream != nil }

// Stream returns the body of a streaming response and its size in bytes, -1 if
// the size is unknown. Reading fails if the response is truncated.
func (a *Answer) Stream() (body io.Reader, size int) { return a.stream, a.stream.size }

// stream is the body of a streaming response. It owns the connection until
// Close.
type stream struct {
	transport *Transport
	conn      *conn
	response  *fasthttp.Response
	prefix    []byte // start of the body that is already read
	size      int    // of the whole body, in bytes; -1: unknown
	sawEOF    bool   // the whole body was read
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	if s.sawEOF {
		return 0, io.EOF
	}
	n, err := s.response.BodyStream().Read(p)
	s.sawEOF = err == io.EOF
	return n, err
}

// Close returns the connection to the pool if the body was read completely and
// the server keeps the connection open. Otherwise it closes the connection.
func (s *stream) Close() error {
	if s.conn == nil {
		return nil
	}
	keep := s.sawEOF && s.conn.reader.Buffered() == 0 && !s.response.ConnectionClose()
	_ = s.response.CloseBodyStream() // it refers to the connection's reader
	if keep {
		s.transport.putIdleConn(s.conn)
	} else {
		s.conn.close()
	}
	s.conn = nil
	return nil
}
