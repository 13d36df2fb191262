package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/rpc"
)

// frameHeaderBytes is the size of the length prefix of a frame.
const frameHeaderBytes = 4

// maxResponseBytes limits the frame of a response. Responses are empty, but the
// first one contains the gob description of its types.
const maxResponseBytes = 4 << 10

// codec encodes net/rpc headers and bodies by gob. A length-prefixed frame holds a
// header, its body and, after an Envelope, the message. One gob stream spans all
// frames, so each type is described once per link. The length prefix lets the
// receiver reject an oversized message before reading it.
type codec struct {
	conn          io.ReadWriteCloser
	reader        *bufio.Reader
	maxFrameBytes int    // limit for received frames, without the length prefix
	bytesWritten  uint64 // used only by the goroutine that writes
	readError     error  // of the connection; not set for invalid frames
	writeBuffer   bytes.Buffer
	readBuffer    bytes.Buffer
	encoder       *gob.Encoder
	decoder       *gob.Decoder
}

func newCodec(conn io.ReadWriteCloser, maxFrameBytes int) *codec {
	c := &codec{conn: conn, reader: bufio.NewReader(conn), maxFrameBytes: maxFrameBytes}
	c.encoder = gob.NewEncoder(&c.writeBuffer)
	c.decoder = gob.NewDecoder(&c.readBuffer)
	return c
}

func (c *codec) writeFrame(header, body any) error {
	c.writeBuffer.Reset()
	c.writeBuffer.Write(make([]byte, frameHeaderBytes))
	if err := c.encoder.Encode(header); err != nil {
		return c.closeOnError(err)
	}
	if err := c.encoder.Encode(body); err != nil {
		return c.closeOnError(err)
	}
	if e, ok := body.(*Envelope); ok {
		if err := c.encoder.Encode(e.body); err != nil {
			return c.closeOnError(err)
		}
	}
	frame := c.writeBuffer.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeaderBytes))
	if _, err := c.conn.Write(frame); err != nil {
		return c.closeOnError(err)
	}
	c.bytesWritten += uint64(len(frame))
	c.releaseLargeBuffer()
	return nil
}

// closeOnError closes the link, because after an error the gob streams of both
// ends are out of sync. It returns the error.
func (c *codec) closeOnError(err error) error {
	c.conn.Close()
	return err
}

// maxRetainedBuffer is the maximum capacity in bytes of a buffer that is reused
// for the next frame. At the target size a host has up to 1,300 links, so buffers
// that grew for a rare large message must be freed.
const maxRetainedBuffer = 2 << 10

func (c *codec) releaseLargeBuffer() {
	if c.writeBuffer.Cap() > maxRetainedBuffer {
		c.writeBuffer = bytes.Buffer{}
	}
}

// readFrame reads a frame and decodes its header.
func (c *codec) readFrame(header any) error {
	var length [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, length[:]); err != nil {
		c.readError = err
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if uint64(n) > uint64(c.maxFrameBytes) {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", n, c.maxFrameBytes)
	}
	c.readBuffer.Reset()
	if c.readBuffer.Cap() > maxRetainedBuffer {
		c.readBuffer = bytes.Buffer{}
	}
	// CopyN grows the buffer with the bytes that arrive, so that a false length
	// prefix allocates no memory.
	if _, err := io.CopyN(&c.readBuffer, c.reader, int64(n)); err != nil {
		c.readError = err
		return err
	}
	return c.decode(header)
}

// readBody decodes the body of a frame and, after an Envelope, its message.
func (c *codec) readBody(body any) error {
	if err := c.decode(body); err != nil {
		return err
	}
	e, ok := body.(*Envelope)
	if !ok {
		return nil
	}
	if e.Kind < 0 || e.Kind >= len(kinds) {
		return c.decode(nil) // unknown kind of a newer release; receive ignores it
	}
	e.body = kinds[e.Kind].newWireForm()
	return c.decode(e.body)
}

// decode decodes the next value of the frame. It recovers from panics, because a
// decoder bug that is triggered by malicious input must not end the process.
func (c *codec) decode(into any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("gob: %v", r)
		}
	}()
	err = c.decoder.Decode(into)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		// net/rpc would interpret io.EOF as the end of the link.
		return errors.New("gob: frame ends within a value")
	}
	return err
}

func (c *codec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.writeFrame(r, body) }
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error    { return c.readFrame(r) }
func (c clientCodec) ReadResponseBody(body any) error             { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.writeFrame(r, body) }
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error        { return c.readFrame(r) }
func (c serverCodec) ReadRequestBody(body any) error                { return c.readBody(body) }
