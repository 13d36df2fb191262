package wire

import (
	"bufio"
	"bytes"
	"io"
	"net/http/httputil"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The grammar of RFC 9112 as regular expressions, a second form of the checks.
const (
	tokenPattern = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"
	textPattern  = `[\t \x21-\x7e\x80-\xff]*`
	fieldPattern = tokenPattern + ":" + textPattern + `\r\n`
	startPattern = `HTTP/1\.[01] [1-5][0-9][0-9](?: ` + textPattern + `)?\r\n`
)

var (
	responseHeadPattern  = regexp.MustCompile(`^` + startPattern + `(?:` + fieldPattern + `)*\r\n$`)
	requestFieldsPattern = regexp.MustCompile(`^(?:` + fieldPattern + `(?:[\t ]` + textPattern + `\r\n)*)*(?:\r\n)?$`)
)

// matches reports whether bytes match a pattern, each byte as the character of its
// number: package regexp reads UTF-8.
func matches(pattern *regexp.Regexp, text []byte) bool {
	var runes []rune
	for _, b := range text {
		runes = append(runes, rune(b))
	}
	return pattern.MatchString(string(runes))
}

// soundHeads are heads of responses in which mutate changes bytes. They have no field
// that determines the length, so that only the grammar decides.
var soundHeads = []string{
	"HTTP/1.1 200 OK\r\nX-A: b c\r\nY:\r\n\r\n",
	"HTTP/1.0 404\r\nServer: s\r\n\r\n",
	"HTTP/1.1 103 \r\n\r\n",
}

// mutate calls check with text in which each byte is removed, replaced by each other one
// and preceded by each one.
func mutate(text string, check func([]byte)) {
	for i := range len(text) {
		check([]byte(text[:i] + text[i+1:]))
		for b := range 256 {
			inserted := string([]byte{byte(b)})
			check([]byte(text[:i] + inserted + text[i+1:]))
			check([]byte(text[:i] + inserted + text[i:]))
		}
	}
}

// TestResponseHeadGrammar guards against a byte at any place of a response head that is
// accepted although the grammar excludes it, or rejected although it is allowed.
func TestResponseHeadGrammar(t *testing.T) {
	for _, head := range soundHeads {
		qt.Assert(t, CheckResponseHead([]byte(head)), qt.IsNil)
		mutate(head, func(mutant []byte) {
			isValid := CheckResponseHead(mutant) == nil
			if want := matches(responseHeadPattern, mutant); isValid != want {
				t.Errorf("%q: accepted %v, want %v", mutant, isValid, want)
			}
		})
	}
}

// TestRequestFieldsGrammar guards against the same in the fields of a request.
func TestRequestFieldsGrammar(t *testing.T) {
	for _, fields := range []string{"Host: h\r\nX-A: b c\r\n\r\n", "X: a\r\n b\r\nY:\r\n"} {
		qt.Assert(t, CheckRequestFields([]byte(fields)), qt.IsNil)
		mutate(fields, func(mutant []byte) {
			isValid := CheckRequestFields(mutant) == nil
			if want := matches(requestFieldsPattern, mutant); isValid != want {
				t.Errorf("%q: accepted %v, want %v", mutant, isValid, want)
			}
		})
	}
}

// FuzzResponseHead guards against panics and against heads that the grammar excludes.
func FuzzResponseHead(f *testing.F) {
	for _, head := range soundHeads {
		f.Add([]byte(head))
	}
	f.Add([]byte("HTTP/1.1 000 OK\r\nX Y: v\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		if CheckResponseHead(head) == nil && !matches(responseHeadPattern, head) {
			t.Errorf("%q is accepted", head)
		}
	})
}

// FuzzFraming guards against accepting a message with two lengths, whatever text is
// between and after the two fields, and however they are written.
func FuzzFraming(f *testing.F) {
	f.Add([]byte("Host: h\r\n"), "Content-Length: 1", "chunked")
	f.Add([]byte("transfer-encoding: chunked\r\n"), "x\r\n", "\r\n chunked")
	f.Add([]byte(""), "X: y\r\n ", "chunked")
	f.Fuzz(func(t *testing.T, lines []byte, between, encoding string) {
		between = strings.TrimRight(between, "\r\n") + "\r\n"
		both := [][]byte{[]byte("content-LENGTH:1\r\n"), []byte(between), []byte("Transfer-Encoding: " + encoding + "\r\n"), lines}
		if CheckRequestFields(bytes.Join(both, nil)) == nil {
			t.Errorf("two lengths pass with %q between and %q after", between, lines)
		}
		head := append([]byte("HTTP/1.1 200 OK\r\n"), bytes.Join(both, nil)...)
		if CheckResponseHead(head) == nil {
			t.Errorf("two lengths pass in a response with %q between and %q after", between, lines)
		}
	})
}

// TestFoldedFraming guards against a folded line that one recipient reads as a field
// that determines the length, and another as part of the field before it.
func TestFoldedFraming(t *testing.T) {
	for _, fields := range []string{
		"X: y\r\n Content-Length: 1\r\n",
		"X: y\r\n\tTransfer-Encoding : chunked\r\n",
		"Content-Length: 1\r\n 2\r\n",
		"Content-Length:\r\n 1\r\n",
		"Transfer-Encoding: chunked\r\n , gzip\r\n",
		" X: y\r\n",
	} {
		qt.Check(t, CheckRequestFields([]byte(fields)), qt.IsNotNil, qt.Commentf("%q", fields))
	}
}

// FuzzChunkedReader guards against a chunked body that is decoded in another way than by
// the standard library where that accepts it, and against reading past its end.
func FuzzChunkedReader(f *testing.F) {
	for _, seed := range []string{
		"2\r\nok\r\n0\r\n\r\nnext", "1;a=b\r\no\r\n01 ;c\r\nk\r\n0\r\nX: v\r\n\r\n", "2\r\nok\r\n0\r\nX Y: v\r\n\r\n",
		"ffffffffffffffff\r\n", "A\r\n0123456789\r\n0", "0\r\n\r\n", " 1\r\na\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		source := bufio.NewReaderSize(bytes.NewReader(encoded), 4096)
		body, err := io.ReadAll(NewChunkedReader(source))
		if err != nil {
			return
		}
		rest, _ := io.ReadAll(source)
		if used := len(encoded) - len(rest); !bytes.HasSuffix(encoded[:used], lineEnd) {
			t.Errorf("%q: the body ends after %d bytes", encoded, used)
		}
		want, err := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(encoded)))
		if err == nil && !bytes.Equal(body, want) {
			t.Errorf("%q is decoded as %q, want %q", encoded, body, want)
		}
	})
}
