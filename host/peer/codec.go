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

// frameHeader is the size in bytes of a frame's length.
const frameHeader = 4

// maxAnswer bounds the answer to a call in bytes; answers hold no data, but
// the first one describes its types.
const maxAnswer = 4 << 10

// codec encodes net/rpc headers and bodies by gob, each pair in a frame with a
// length in front. The gob stream runs through all frames, so types are
// described once a link, and the length lets a receiver refuse a message
// before it reads it.
type codec struct {
	conn    io.ReadWriteCloser
	reader  *bufio.Reader
	limit   int    // bytes of a received frame
	written uint64 // bytes; for the goroutine that writes
	ended   error  // of the connection, where it ended a read
	out     bytes.Buffer
	in      bytes.Buffer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

func newCodec(conn io.ReadWriteCloser, limit int) *codec {
	c := &codec{conn: conn, reader: bufio.NewReader(conn), limit: limit}
	c.encoder = gob.NewEncoder(&c.out)
	c.decoder = gob.NewDecoder(&c.in)
	return c
}

func (c *codec) write(header, body any) error {
	c.out.Reset()
	c.out.Write(make([]byte, frameHeader))
	if err := c.encoder.Encode(header); err != nil {
		return c.fail(err)
	}
	if err := c.encoder.Encode(body); err != nil {
		return c.fail(err)
	}
	if e, ok := body.(*Envelope); ok {
		if err := c.encoder.Encode(e.body); err != nil {
			return c.fail(err)
		}
	}
	frame := c.out.Bytes()
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-frameHeader))
	if _, err := c.conn.Write(frame); err != nil {
		return c.fail(err)
	}
	c.written += uint64(len(frame))
	c.shrink()
	return nil
}

// fail closes the link: after an error the gob streams of both ends differ.
func (c *codec) fail(err error) error {
	c.conn.Close()
	return err
}

// keptBuffer is the capacity in bytes of a buffer that is kept for the next
// frame. At the target size a host has up to 1,300 links, so that the buffers
// of a rare large message must not stay in memory.
const keptBuffer = 2 << 10

func (c *codec) shrink() {
	if c.out.Cap() > keptBuffer {
		c.out = bytes.Buffer{}
	}
}

// read reads a frame and decodes its header.
func (c *codec) read(header any) error {
	var length [frameHeader]byte
	if _, err := io.ReadFull(c.reader, length[:]); err != nil {
		c.ended = err
		return err
	}
	n := binary.BigEndian.Uint32(length[:])
	if uint64(n) > uint64(c.limit) {
		return fmt.Errorf("message of %d bytes exceeds the limit of %d", n, c.limit)
	}
	c.in.Reset()
	if c.in.Cap() > keptBuffer {
		c.in = bytes.Buffer{}
	}
	// The buffer grows with what arrives, not with what the sender announced.
	if _, err := io.CopyN(&c.in, c.reader, int64(n)); err != nil {
		c.ended = err
		return err
	}
	return c.decode(header)
}

// readBody decodes what follows the header, with an envelope its message too.
func (c *codec) readBody(body any) error {
	if err := c.decode(body); err != nil {
		return err
	}
	e, ok := body.(*Envelope)
	if !ok {
		return nil
	}
	if e.Kind < 0 || e.Kind >= len(kinds) {
		return c.decode(nil) // of a newer release; take passes over it
	}
	e.body = kinds[e.Kind].fresh()
	return c.decode(e.body)
}

// decode decodes the next value of the frame. A fault of the decoder on input
// that was made to break it must not end the process.
func (c *codec) decode(into any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("gob: %v", r)
		}
	}()
	err = c.decoder.Decode(into)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		// Not the end of the link, which net/rpc takes io.EOF for.
		return errors.New("gob: frame ends within a value")
	}
	return err
}

func (c *codec) Close() error { return c.conn.Close() }

// clientCodec implements rpc.ClientCodec.
type clientCodec struct{ *codec }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }
func (c clientCodec) ReadResponseHeader(r *rpc.Response) error    { return c.read(r) }
func (c clientCodec) ReadResponseBody(body any) error             { return c.readBody(body) }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *codec }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error { return c.write(r, body) }
func (c serverCodec) ReadRequestHeader(r *rpc.Request) error        { return c.read(r) }
func (c serverCodec) ReadRequestBody(body any) error                { return c.readBody(body) }
