package backend

import (
	"bytes"
	"errors"
	"io"
	"os"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

// maxResponseHeaders is the maximum number of headers that are read for one
// request: those of interim (1xx) responses and of the final response.
const maxResponseHeaders = 8

// errInvalidResponse is returned for a response that violates the protocol.
var errInvalidResponse = errors.New("invalid response")

// receive reads the response: completely, or up to the part of its body that is
// streamed.
func (e *exchange) receive() (*Response, failure) {
	response := acquireResponse()
	err := e.readFinalHeader(&response.Response)
	if err == nil {
		err = e.readBody(response)
	}
	if err == nil && !response.Streaming() && e.conn.reader.Buffered() > 0 {
		err = errInvalidResponse
	}
	if err != nil {
		response.Release()
		return nil, failure{model.MayHaveRun, e.receiveReason(err)}
	}
	return response, failure{}
}

// errNoResponse is returned if the connection fails before the first byte of a
// response.
var errNoResponse = errors.New("no response")

// receiveReason returns the reason for a failed receive: no response, a
// timeout, or an invalid response.
func (e *exchange) receiveReason(err error) model.Reason {
	if errors.Is(err, errNoResponse) {
		return model.ReasonServerFailed
	}
	if reason := failureReason(err); reason == model.ReasonTimedOut {
		return reason
	}
	return model.ReasonBadAnswer
}

// readFinalHeader reads the header of the final response to the request, skipping interim
// responses and further copies of the responses to earlier requests on the connection.
func (e *exchange) readFinalHeader(r *fasthttp.Response) error {
	skipped := false
	for range maxResponseHeaders {
		err := e.conn.readHeader(&r.Header)
		switch {
		case skipped && errors.Is(err, errNoResponse):
			return errInvalidResponse // there was one, to an earlier request
		case err != nil:
			return err
		}
		switch status := r.StatusCode(); {
		case status == fasthttp.StatusSwitchingProtocols:
			return errInvalidResponse
		case status < fasthttp.StatusOK:
			continue
		}
		r.Header.SetNoDefaultContentType(true)
		switch ids := r.Header.PeekAll(e.dialect().RequestID); {
		case len(ids) == 0:
			return e.checkAnonymous(&r.Header)
		case areAll(ids, e.isOwnID):
			return nil
		case !areAll(ids, e.isCarriedID):
			return errInvalidResponse
		}
		if err := e.skipBody(r); err != nil {
			return err
		}
		skipped = true
		e.transport.counters.skipped.Add(1)
	}
	return errInvalidResponse
}

// checkAnonymous checks a response without a request ID. The first one on a connection
// belongs to its first request. On a connection in use, the responses so far had IDs, so
// this is no copy of them; but only one that states that the request was not run is
// accepted, because servers may shed requests before they read their fields. The
// connection is not used again: a copy of this response could not be told from the next.
func (e *exchange) checkAnonymous(h *fasthttp.ResponseHeader) error {
	isRefusal := e.isShed(h) || e.dialect().IsMisdirected(h)
	if !e.conn.isFirstRequest() && !isRefusal {
		return errInvalidResponse
	}
	e.conn.hadAnonymous = true
	return nil
}

// isOwnID reports whether an ID is that of the request.
func (e *exchange) isOwnID(id []byte) bool { return string(id) == e.RequestID }

// isCarriedID reports whether an ID is that of a request on the connection.
func (e *exchange) isCarriedID(id []byte) bool { return e.conn.hasCarried(string(id)) }

func areAll(ids [][]byte, matches func([]byte) bool) bool {
	for _, id := range ids {
		if !matches(id) {
			return false
		}
	}
	return true
}

// skipBody reads the body of a copy of the response to an earlier request; the request's
// own response follows. It fails where the end of the body is not known, as after a HEAD
// request on the connection, or beyond MaxBufferedBody bytes.
func (e *exchange) skipBody(r *fasthttp.Response) error {
	length := r.Header.ContentLength()
	var body io.Reader
	switch {
	case e.conn.carriedHead:
		return errInvalidResponse
	case isBodyless(r.StatusCode()):
		return nil
	case length == lengthUntilClose || length > MaxBufferedBody:
		return errInvalidResponse
	case length == lengthChunked:
		body = wire.NewChunkedReader(e.conn.reader)
	default:
		body = io.LimitReader(e.conn.reader, int64(length))
	}
	n, err := io.CopyN(io.Discard, body, MaxBufferedBody+1)
	switch {
	case err == nil, errors.Is(err, io.EOF) && length >= 0 && n < int64(length):
		return errInvalidResponse // too large, or cut
	case errors.Is(err, io.EOF):
		return nil
	default:
		return err
	}
}

// readHeader reads one response header. It fails if the header is malformed or the
// framing of the message is ambiguous, or if the library finds another end of the
// header than peekHeader.
func (c *conn) readHeader(h *fasthttp.ResponseHeader) error {
	block, err := c.peekHeader()
	if err != nil {
		return err
	}
	if err := wire.CheckResponseHead(block); err != nil {
		return err
	}
	rest := c.reader.Buffered() - len(block)
	if err := h.Read(c.reader); err != nil {
		return errInvalidResponse
	}
	if c.reader.Buffered() != rest {
		return errInvalidResponse
	}
	return nil
}

// peekHeader waits for a complete header and returns it without consuming it.
func (c *conn) peekHeader() ([]byte, error) {
	for {
		block, err := c.reader.Peek(c.reader.Buffered() + 1)
		block = block[:c.reader.Buffered()]
		if end := headerEnd(block); end > 0 {
			return block[:end], nil
		}
		if err != nil {
			return nil, headerError(err, len(block))
		}
	}
}

func headerError(err error, received int) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case received == 0:
		return errNoResponse
	default:
		return errInvalidResponse
	}
}

// headerEnd returns the length of the header at the start of block, including
// the empty line, or 0 if the header is incomplete.
func headerEnd(block []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(block[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		rest := block[at:]
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return at + 2
		}
		if bytes.HasPrefix(rest, []byte("\n")) {
			return at + 1
		}
	}
}

// readBody reads the body completely, or prepares to stream it.
func (e *exchange) readBody(response *Response) error {
	r := &response.Response
	if e.hasNoBody(r) {
		return nil
	}
	length := r.Header.ContentLength()
	switch {
	case length == lengthUntilClose:
		return errInvalidResponse
	case length >= 0 && length <= MaxBufferedBody && e.reserve(response, length):
		return r.ReadBody(e.conn.reader, MaxBufferedBody)
	default:
		return e.readLargeBody(response, length)
	}
}

// Values of ResponseHeader.ContentLength for framings without a length.
const (
	lengthChunked    = -1
	lengthUntilClose = -2 // delimited by the close of the connection
)

// hasNoBody reports whether the response has no body regardless of its header:
// a response to HEAD, 204 or 304. It sets r.SkipBody for HEAD.
func (e *exchange) hasNoBody(r *fasthttp.Response) bool {
	r.SkipBody = e.Request.Header.IsHead()
	return r.SkipBody || isBodyless(r.StatusCode())
}

func isBodyless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readLargeBody reads a chunked body of up to MaxBufferedBody bytes completely
// and streams the rest of a larger one. A body with a larger Content-Length, or one
// that there is no memory for, is streamed from its start.
func (e *exchange) readLargeBody(response *Response, length int) error {
	if length == lengthChunked {
		return e.readChunkedBody(response)
	}
	r := &response.Response
	r.StreamBody = true
	if err := r.ReadBody(e.conn.reader, 0); err != nil {
		return err
	}
	e.startStream(response, r.BodyStream(), nil, length)
	return nil
}

// readChunkedBody reads a chunked body completely, or prepares to stream what follows
// the part that fits into memory.
func (e *exchange) readChunkedBody(response *Response) error {
	source := wire.NewChunkedReader(e.conn.reader)
	prefix, isWhole, err := e.readPrefix(response, source)
	switch {
	case err != nil:
		return err
	case isWhole:
		response.Response.SetBodyRaw(prefix)
	default:
		e.startStream(response, source, prefix, lengthChunked)
	}
	return nil
}

// startStream makes a response stream the body that source returns after prefix.
func (e *exchange) startStream(response *Response, source io.Reader, prefix []byte, size int) {
	response.stream = &stream{
		transport: e.transport,
		conn:      e.conn,
		response:  &response.Response,
		source:    source,
		prefix:    prefix,
		size:      size,
	}
}

// firstPrefix is the size in bytes for which a chunked body reserves memory at first. The
// reservation doubles as the body grows, so that many slow responses with small bodies do
// not take all of the memory.
const firstPrefix = 64 << 10

// readPrefix reads a chunked body up to MaxBufferedBody bytes, or up to what there is
// memory for. It reports whether that is the whole body.
func (e *exchange) readPrefix(response *Response, source io.Reader) (prefix []byte, isWhole bool, err error) {
	for limit := firstPrefix; limit <= MaxBufferedBody && e.grow(response, limit); limit *= 2 {
		more, err := io.ReadAll(io.LimitReader(source, int64(limit-len(prefix))))
		prefix = append(prefix, more...)
		if err != nil || len(prefix) < limit {
			response.trim(len(prefix))
			return prefix, true, err
		}
	}
	more, err := io.ReadAll(io.LimitReader(source, 1)) // finds the end of a body that just fits
	return append(prefix, more...), len(more) == 0, err
}
