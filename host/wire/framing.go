package wire

import (
	"bytes"
	"errors"
)

// ErrFraming is returned for a message whose length is ambiguous.
var ErrFraming = errors.New("conflicting Content-Length or Transfer-Encoding")

// framing counts the fields that give a message its length.
type framing struct {
	lengths   int
	encodings int
	unknown   int // encodings other than chunked
}

// CheckFraming checks the header lines of a message, without its first line:
// it may have one Content-Length or one "Transfer-Encoding: chunked", not both.
// A second reader of the message could otherwise find its end in another
// place.
func CheckFraming(lines []byte) error {
	var f framing
	for len(lines) > 0 {
		line, rest, _ := bytes.Cut(lines, []byte{'\n'})
		f.count(line)
		lines = rest
	}
	if f.lengths+f.encodings > 1 || f.unknown > 0 {
		return ErrFraming
	}
	return nil
}

func (f *framing) count(line []byte) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok {
		return
	}
	name = bytes.TrimSpace(name)
	switch {
	case EqualFold(name, "Content-Length"):
		f.lengths++
	case EqualFold(name, "Transfer-Encoding"):
		f.encodings++
		if !EqualFold(bytes.TrimSpace(value), "chunked") {
			f.unknown++
		}
	}
}
