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
	unsupported int  // encodings other than chunked, and lengths that are no number
	isLast      bool // the last field is one of them
}

// check checks the fields of a whole message. It may have one Content-Length or one
// "Transfer-Encoding: chunked", but not both: otherwise the next recipient could compute
// another length (request smuggling).
func (f *framingFields) check() error {
	if f.lengths+f.encodings > 1 || f.unsupported > 0 {
		return ErrFraming
	}
	return nil
}

// addLine checks a field line without its line end and counts the field.
func (f *framingFields) addLine(line []byte) error {
	name, value, err := splitFieldLine(line)
	if err != nil {
		return err
	}
	f.isLast = isFramingName(name)
	switch {
	case EqualFold(name, contentLength):
		f.lengths++
		if !isNumber(value) {
			f.unsupported++
		}
	case EqualFold(name, transferEncoding):
		f.encodings++
		if !EqualFold(value, "chunked") {
			f.unsupported++
		}
	}
	return nil
}

// addFold checks a line that continues the field before it. It fails if that field
// determines the length of the message, or if a recipient that does not know folded
// lines could take the line for such a field.
func (f *framingFields) addFold(line []byte) error {
	name, _, _ := bytes.Cut(line, []byte{':'})
	switch {
	case !isFieldContent(line):
		return ErrHead
	case f.isLast || isFramingName(bytes.Trim(name, " \t")):
		return ErrFraming
	default:
		return nil
	}
}

const (
	contentLength    = "Content-Length"
	transferEncoding = "Transfer-Encoding"
)

func isFramingName(name []byte) bool {
	return EqualFold(name, contentLength) || EqualFold(name, transferEncoding)
}

// isNumber reports whether text consists of digits only.
func isNumber(text []byte) bool {
	for _, b := range text {
		if !isDigit(b) {
			return false
		}
	}
	return len(text) > 0
}
