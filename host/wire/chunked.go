package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// ErrChunk is returned for a chunked body that does not have the form that RFC 9112
// requires.
var ErrChunk = errors.New("malformed chunked body")

const (
	// maxChunkSizeDigits bounds the size of a chunk to less than 2^60 bytes.
	maxChunkSizeDigits = 15
	// maxChunkOverhead bounds the bytes of chunk extensions and trailers of a body.
	maxChunkOverhead = 16 << 10
)

// ChunkedReader decodes a chunked body. It returns io.EOF after the last chunk and its
// trailer fields, which it checks and drops, and leaves the reader at the first byte
// after them. Create it with NewChunkedReader.
type ChunkedReader struct {
	source   *bufio.Reader
	left     int64 // bytes left of the current chunk
	overhead int   // bytes of extensions and trailers so far
	began    bool  // a chunk has begun, so that its line end is due before the next one
	err      error // ends the body
}

// NewChunkedReader returns a reader of the chunked body that begins at the next byte of
// source. A line of the body has to fit into the buffer of source.
func NewChunkedReader(source *bufio.Reader) *ChunkedReader { return &ChunkedReader{source: source} }

// Read implements io.Reader. Errors are io.EOF after a complete body,
// io.ErrUnexpectedEOF, ErrChunk, ErrHead and ErrFraming, and those of the source.
func (c *ChunkedReader) Read(p []byte) (int, error) {
	if c.left == 0 && c.err == nil {
		c.err = c.nextChunk()
	}
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.source.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	if err != nil {
		c.err = truncated(err)
	}
	return n, c.err
}

// nextChunk reads up to the data of the next chunk. It returns io.EOF after the last.
func (c *ChunkedReader) nextChunk() error {
	if c.began {
		if line, err := c.readLine(); err != nil || len(line) > 0 {
			return orMalformed(err)
		}
	}
	c.began = true
	line, err := c.readLine()
	if err != nil {
		return err
	}
	size, ok := parseChunkSize(line)
	switch {
	case !ok || !c.addOverhead(len(line)-maxChunkSizeDigits):
		return ErrChunk
	case size == 0:
		return c.readTrailers()
	}
	c.left = size
	return nil
}

// readTrailers reads the trailer fields and the empty line after them.
func (c *ChunkedReader) readTrailers() error {
	for {
		line, err := c.readLine()
		switch {
		case err != nil:
			return err
		case len(line) == 0:
			return io.EOF
		case !c.addOverhead(len(line) + len(lineEnd)):
			return ErrChunk
		}
		if err := checkTrailerLine(line); err != nil {
			return err
		}
	}
}

// addOverhead counts bytes of extensions or trailers. It reports whether the body may
// have as many.
func (c *ChunkedReader) addOverhead(bytes int) bool {
	c.overhead += max(0, bytes)
	return c.overhead <= maxChunkOverhead
}

// readLine reads a line and returns it without its line end.
func (c *ChunkedReader) readLine() ([]byte, error) {
	line, err := c.source.ReadSlice('\n')
	if err != nil {
		return nil, truncated(err)
	}
	line, ok := bytes.CutSuffix(line, lineEnd)
	if !ok {
		return nil, ErrChunk
	}
	return line, nil
}

// parseChunkSize parses the first line of a chunk: its size in hexadecimal digits, and
// extensions after a semicolon, which are ignored.
func parseChunkSize(line []byte) (int64, bool) {
	digits, extensions, hasExtensions := bytes.Cut(line, []byte{';'})
	if hasExtensions {
		digits = bytes.TrimRight(digits, " \t")
	}
	if len(digits) == 0 || len(digits) > maxChunkSizeDigits || !isFieldContent(extensions) {
		return 0, false
	}
	size := int64(0)
	for _, b := range digits {
		digit, ok := hexDigit(b)
		if !ok {
			return 0, false
		}
		size = size<<4 | digit
	}
	return size, true
}

func hexDigit(b byte) (int64, bool) {
	switch {
	case isDigit(b):
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	default:
		return 0, false
	}
}

// truncated converts the error of a source that ends or that has a line which is too
// long.
func truncated(err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrBufferFull):
		return ErrChunk
	default:
		return err
	}
}

func orMalformed(err error) error {
	if err != nil {
		return err
	}
	return ErrChunk
}
