package wire

import (
	"bytes"
	"errors"
)

// ErrFraming is returned for a message whose length is ambiguous or whose
// transfer coding is not supported.
var ErrFraming = errors.New("conflicting Content-Length or Transfer-Encoding")

// framingFields counts the header fields that determine a message's length.
type framingFields struct {
	lengths     int
	encodings   int
	unsupported int // encodings other than chunked
}

// CheckFraming checks the header lines of a message, without the start line. The
// message may have one Content-Length or one "Transfer-Encoding: chunked", but not
// both: otherwise the next recipient could compute another length (request
// smuggling).
func CheckFraming(lines []byte) error {
	var f framingFields
	for len(lines) > 0 {
		line, rest, _ := bytes.Cut(lines, []byte{'\n'})
		f.countLine(line)
		lines = rest
	}
	if f.lengths+f.encodings > 1 || f.unsupported > 0 {
		return ErrFraming
	}
	return nil
}

func (f *framingFields) countLine(line []byte) {
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
			f.unsupported++
		}
	}
}
