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

// maxInterim bounds the informational answers before the final one.
const maxInterim = 8

// errBadAnswer is returned for an answer that breaks the protocol.
var errBadAnswer = errors.New("bad answer")

// receive reads the answer: whole, or up to where it begins to stream.
func (e *exchange) receive() (*Answer, failure) {
	answer := acquireAnswer()
	err := e.readHeader(&answer.Response)
	if err == nil {
		err = e.readBody(answer)
	}
	if err == nil && !answer.Streaming() && e.conn.reader.Buffered() > 0 {
		err = errBadAnswer
	}
	if err != nil {
		answer.Release()
		return nil, failure{model.MayHaveRun, e.receiveReason(err)}
	}
	return answer, failure{}
}

// errNothing is returned where the connection ended before the first byte of
// an answer.
var errNothing = errors.New("no answer")

// receiveReason tells a late or missing answer from a broken one.
func (e *exchange) receiveReason(err error) model.Reason {
	if errors.Is(err, errNothing) {
		return model.ReasonServerFailed
	}
	if reason := reasonOf(err); reason == model.ReasonTimedOut {
		return reason
	}
	return model.ReasonBadAnswer
}

// readHeader reads the header of the final answer and checks that it belongs
// to the request.
func (e *exchange) readHeader(r *fasthttp.Response) error {
	for range maxInterim {
		if err := e.conn.readHeader(&r.Header); err != nil {
			return err
		}
		status := r.StatusCode()
		if status >= 200 {
			r.Header.SetNoDefaultContentType(true)
			return e.checkEcho(&r.Header)
		}
		if status == fasthttp.StatusSwitchingProtocols {
			return errBadAnswer
		}
	}
	return errBadAnswer
}

// checkEcho fails if the answer names another request.
func (e *exchange) checkEcho(h *fasthttp.ResponseHeader) error {
	for _, id := range h.PeekAll(e.dialect().RequestID) {
		if string(id) != e.ID {
			return errBadAnswer
		}
	}
	return nil
}

// readHeader reads one header with an unambiguous length.
func (c *conn) readHeader(h *fasthttp.ResponseHeader) error {
	block, err := c.peekHeader()
	if err != nil {
		return err
	}
	_, lines, _ := bytes.Cut(block, []byte{'\n'})
	if err := wire.CheckFraming(lines); err != nil {
		return err
	}
	rest := c.reader.Buffered() - len(block)
	if err := h.Read(c.reader); err != nil {
		return errBadAnswer
	}
	if c.reader.Buffered() != rest {
		return errBadAnswer
	}
	return nil
}

// peekHeader waits for a whole header and returns it without consuming it.
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
		return errNothing
	default:
		return errBadAnswer
	}
}

// headerEnd returns the length of the header at the beginning of block, 0
// where it is not complete.
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

// readBody reads the body whole, or prepares to stream it.
func (e *exchange) readBody(answer *Answer) error {
	r := &answer.Response
	if e.hasNoBody(r) {
		return nil
	}
	length := r.Header.ContentLength()
	switch {
	case length == lengthUnknown:
		return errBadAnswer
	case length >= 0 && length <= WholeAnswer:
		return r.ReadBody(e.conn.reader, WholeAnswer)
	default:
		return e.readLarge(answer, length)
	}
}

// Lengths that ResponseHeader.ContentLength returns for other framings.
const (
	lengthChunked = -1
	lengthUnknown = -2 // the body ends with the connection
)

func (e *exchange) hasNoBody(r *fasthttp.Response) bool {
	status := r.StatusCode()
	r.SkipBody = e.Request.Header.IsHead()
	return r.SkipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// readLarge reads a chunked body up to WholeAnswer and streams the rest. A
// body that is known to be larger is streamed from its beginning.
func (e *exchange) readLarge(answer *Answer, length int) error {
	r := &answer.Response
	r.StreamBody = true
	if err := r.ReadBody(e.conn.reader, 0); err != nil {
		return err
	}
	var prefix []byte
	if length == lengthChunked {
		var err error
		prefix, err = io.ReadAll(io.LimitReader(r.BodyStream(), WholeAnswer+1))
		if err != nil {
			return err
		}
	}
	if length == lengthChunked && len(prefix) <= WholeAnswer {
		if err := r.CloseBodyStream(); err != nil {
			return err
		}
		r.SetBodyRaw(prefix)
		return nil
	}
	answer.stream = &stream{
		transport: e.transport,
		conn:      e.conn,
		response:  r,
		prefix:    prefix,
		size:      length,
	}
	return nil
}
