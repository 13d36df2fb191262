package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"sync"

	encoding "github.com/ugorji/go/codec"
)

// frameHeaderBytes is the size of the length prefix of a frame.
const frameHeaderBytes = 4

// maxResponseBytes limits the frame of a response, which is empty but for an
// error.
const maxResponseBytes = 4 << 10

// readBufferBytes is the size of the read buffer of a link. Most messages fit into
// it; a link has it for as long as it is open.
const readBufferBytes = 1 << 10

// format is the encoding of headers and messages: CBOR (RFC 8949) with structs as
// arrays of their fields in the order of declaration. A decoder ignores elements
// beyond the fields that it knows and leaves missing ones zero, so fields may be
// appended. The encoding of a value does not depend on those before it, so a link
// keeps no encoder or decoder.
var format = newFormat()

func newFormat() *encoding.CborHandle {
	h := new(encoding.CborHandle)
	h.StructToArray = true
	h.MaxInitLen = maxInitialLength
	return h
}

// maxInitialLength is the maximum number of elements for which a decoder allocates
// memory before it has read them.
const maxInitialLength = 256

// codec encodes net/rpc headers and bodies. A length-prefixed frame holds a header,
// its body and, after an Envelope, the message. The length prefix lets the receiver
// reject an oversized message before reading it.
type codec struct {
	conn          io.ReadWriteCloser
	reader        *bufio.Reader
	maxFrameBytes int      // limit for received frames, without the length prefix
	bytesWritten  uint64   // used only by the goroutine that writes
	readError     error    // of the connection; not set for invalid frames
	frame         *inFrame // the frame whose header was read; nil after its body
}

func newCodec(conn io.ReadWriteCloser, maxFrameBytes int) *codec {
	return &codec{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), maxFrameBytes: maxFrameBytes}
}

// outFrame is a frame that is being encoded.
type outFrame struct {
	buffer  []byte
	encoder *encoding.Encoder
}

var outFrames = sync.Pool{New: func() any { return &outFrame{encoder: encoding.NewEncoderBytes(nil, format)} }}

// inFrame is a frame that is being decoded.
type inFrame struct {
	buffer  bytes.Buffer
	decoder *encoding.Decoder
}

var inFrames = sync.Pool{New: func() any { return &inFrame{decoder: encoding.NewDecoderBytes(nil, format)} }}

// maxRetainedBuffer is the maximum capacity in bytes of a buffer that is reused
// for another frame.
const maxRetainedBuffer = 64 << 10

func (c *codec) writeFrame(header, body any) error {
	frame := outFrames.Get().(*outFrame)
	defer frame.release()
	if err := frame.encode(header, body); err != nil {
		return c.closeOnError(err)
	}
	if _, err := c.conn.Write(frame.buffer); err != nil {
		return c.closeOnError(err)
	}
	c.bytesWritten += uint64(len(frame.buffer))
	return nil
}

// encode sets the buffer to the frame with its length prefix.
func (f *outFrame) encode(header, body any) error {
	values := []any{header, body}
	if e, ok := body.(*Envelope); ok {
		values = append(values, e.body)
	}
	var encoded []byte
	f.buffer = append(f.buffer[:0], make([]byte, frameHeaderBytes)...)
	for _, value := range values {
		encoded = f.buffer[len(f.buffer):]
		f.encoder.ResetBytes(&encoded)
		if err := f.encoder.Encode(value); err != nil {
			return err
		}
		f.buffer = append(f.buffer, encoded...)
	}
	binary.BigEndian.PutUint32(f.buffer, uint32(len(f.buffer)-frameHeaderBytes))
	return nil
}

func (f *outFrame) release() {
	f.encoder.ResetBytes(nil)
	if cap(f.buffer) > maxRetainedBuffer {
		f.buffer = nil
	}
	outFrames.Put(f)
}

// closeOnError closes the link, because a part of a frame may have been written. It
// returns the error.
func (c *codec) closeOnError(err error) error {
	c.conn.Close()
	return err
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
	c.releaseFrame()
	frame := inFrames.Get().(*inFrame)
	c.frame = frame
	// CopyN grows the buffer with the bytes that arrive, so that a false length
	// prefix allocates no memory.
	if _, err := io.CopyN(&frame.buffer, c.reader, int64(n)); err != nil {
		c.readError = err
		return err
	}
	frame.decoder.ResetBytes(frame.buffer.Bytes())
	return frame.decode(header)
}

// readBody decodes the body of a frame and, after an Envelope, its message. With
// nil it discards them.
func (c *codec) readBody(body any) error {
	defer c.releaseFrame()
	if body == nil {
		return nil
	}
	if err := c.frame.decode(body); err != nil {
		return err
	}
	e, ok := body.(*Envelope)
	if !ok {
		return nil
	}
	if e.Kind < 0 || e.Kind >= len(kinds) {
		return nil // unknown kind of a newer release; receive ignores it
	}
	e.body = kinds[e.Kind].newWireForm()
	return c.frame.decode(e.body)
}

func (c *codec) releaseFrame() {
	if c.frame == nil {
		return
	}
	c.frame.buffer.Reset()
	if c.frame.buffer.Cap() <= maxRetainedBuffer {
		inFrames.Put(c.frame)
	}
	c.frame = nil
}

// decode decodes the next value of the frame. It recovers from panics, because a
// decoder bug that is triggered by malicious input must not end the process.
func (f *inFrame) decode(into any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("decoding a message: %v", r)
		}
	}()
	err = f.decoder.Decode(into)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		// net/rpc would interpret io.EOF as the end of the link.
		return errors.New("frame ends within a value")
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
