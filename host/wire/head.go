package wire

import (
	"bytes"
	"errors"
)

// ErrHead is returned for a message whose start line or header fields do not have the
// form that RFC 9112 requires.
var ErrHead = errors.New("malformed start line or header field")

// Message heads are checked against the grammar before the HTTP library reads them. It
// accepts more than the grammar allows, and passes on what the next recipient may read
// as another message.

// CheckResponseHead checks the head of a response: the status line, the header fields
// and the empty line after them. A status below 100 or above 599 is malformed. Errors
// are ErrHead and ErrFraming.
func CheckResponseHead(head []byte) error {
	status, fields, _ := bytes.Cut(head, lineEnd)
	version, ok := checkStatusLine(status)
	if !ok || !bytes.HasSuffix(head, emptyLine) {
		return ErrHead
	}
	f, err := checkFieldLines(fields, false)
	if err != nil {
		return err
	}
	// An HTTP/1.0 message with a transfer coding has no reliable length.
	if version == version10 && f.encodings > 0 {
		return ErrFraming
	}
	return f.check()
}

// CheckRequestFields checks the header fields of a request, without its request line, and
// that its length is not ambiguous. The empty line at the end is optional. A field may be
// folded over several lines: the library joins them with a blank, as RFC 9112, section
// 5.2, allows. Errors are ErrHead and ErrFraming.
func CheckRequestFields(lines []byte) error {
	f, err := checkFieldLines(lines, true)
	if err != nil {
		return err
	}
	return f.check()
}

// checkTrailerLine checks one trailer field without its line end. A field that
// determines the length of a message must not be a trailer.
func checkTrailerLine(line []byte) error {
	var f framingFields
	if err := f.addLine(line); err != nil {
		return err
	}
	if f.lengths+f.encodings > 0 {
		return ErrFraming
	}
	return nil
}

// The versions of HTTP that a response may have.
const (
	version10 = "HTTP/1.0"
	version11 = "HTTP/1.1"
)

// statusLineBytes is the length of a status line without a reason phrase.
const statusLineBytes = len(version11) + len(" 200")

// checkStatusLine checks a status line without its line end and returns its version.
// The reason phrase is optional, also with the blank before it.
func checkStatusLine(line []byte) (version string, ok bool) {
	if len(line) < statusLineBytes {
		return "", false
	}
	version = string(line[:len(version11)])
	status := line[len(version11):statusLineBytes]
	reason := line[statusLineBytes:]
	isValid := (version == version11 || version == version10) &&
		status[0] == ' ' && '1' <= status[1] && status[1] <= '5' && isDigit(status[2]) && isDigit(status[3]) &&
		(len(reason) == 0 || reason[0] == ' ') && isFieldContent(reason)
	return version, isValid
}

// checkFieldLines checks header fields up to the empty line, if there is one, and
// returns those that determine the length of the message.
func checkFieldLines(lines []byte, allowsFolds bool) (framingFields, error) {
	var f framingFields
	for isFirst := true; len(lines) > 0; isFirst = false {
		line, rest, ok := bytes.Cut(lines, lineEnd)
		switch {
		case !ok:
			return f, ErrHead // the line has no end
		case len(line) == 0 && len(rest) > 0:
			return f, ErrHead
		case len(line) == 0:
			return f, nil
		}
		add := f.addLine
		if allowsFolds && !isFirst && isFold(line) {
			add = f.addFold
		}
		if err := add(line); err != nil {
			return f, err
		}
		lines = rest
	}
	return f, nil
}

// isFold reports whether a line continues the field of the line before it (obs-fold).
func isFold(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

// splitFieldLine checks a field line without its line end, and returns the name and the
// value without the whitespace around it.
func splitFieldLine(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte{':'})
	if !ok || !IsToken(name) || !isFieldContent(value) {
		return nil, nil, ErrHead
	}
	return name, bytes.Trim(value, " \t"), nil
}

// lineEnd ends each line of a message. LF alone does not.
var lineEnd = []byte("\r\n")

// emptyLine is the end of a line and the empty line after it, which ends a head.
var emptyLine = []byte("\r\n\r\n")

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// IsToken reports whether text is a token (RFC 9110, section 5.6.2), as the name of a
// field has to be.
func IsToken(text []byte) bool {
	for _, b := range text {
		if !isTokenByte[b] {
			return false
		}
	}
	return len(text) > 0
}

// isFieldContent reports whether text has only bytes that the value of a field and a
// reason phrase may have: printable ones, blanks, tabs and those from 0x80 on.
func isFieldContent(text []byte) bool {
	for _, b := range text {
		if b < ' ' && b != '\t' || b == del {
			return false
		}
	}
	return true
}

const del = 0x7f

// isTokenByte says which bytes a token may have.
var isTokenByte = makeTokenBytes()

func makeTokenBytes() (set [256]bool) {
	const tokenBytes = "!#$%&'*+-.^_`|~" +
		"0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for _, b := range []byte(tokenBytes) {
		set[b] = true
	}
	return set
}
