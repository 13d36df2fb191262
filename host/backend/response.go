package backend

import (
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

// Response is a response of a backend server. Its field Response has the
// header, and the body unless Streaming.
type Response struct {
	Response fasthttp.Response
	stream   *stream
	// reserved is what the body holds of memory.
	memory   *responseMemory
	reserved int
}

var responsePool = sync.Pool{New: func() any { return new(Response) }}

func acquireResponse() *Response { return responsePool.Get().(*Response) }

// Release returns the response to its pool; it must not be used afterwards. If
// the body was not streamed to its end, the connection is closed.
func (r *Response) Release() {
	if r.stream != nil {
		_ = r.stream.Close()
		r.stream = nil
	}
	r.trim(0)
	_ = r.Response.CloseBodyStream()
	r.Response.Reset()
	r.Response.StreamBody = false
	r.Response.SkipBody = false
	responsePool.Put(r)
}

// Streaming reports whether the body has to be read from Stream.
func (r *Response) Streaming() bool { return r.stream != nil }

// Stream returns the body of a streaming response and its size in bytes, -1 if
// the size is unknown. Reading fails if the response is truncated.
func (r *Response) Stream() (body io.Reader, size int) { return r.stream, r.stream.size }

// stream is the body of a streaming response. It owns the connection until
// Close.
type stream struct {
	transport *Transport
	conn      *conn
	response  *fasthttp.Response
	source    io.Reader // of what follows prefix
	prefix    []byte    // start of the body that is already read
	size      int       // of the whole body, in bytes; -1: unknown
	sawEOF    bool      // the whole body was read
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
	n, err := s.source.Read(p)
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
