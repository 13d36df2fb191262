package frontend

import (
	"bytes"
	"strings"
)

// target is a request's target in origin form.
type target struct {
	raw     []byte // all of it, as it was received
	path    []byte // as it was received
	query   []byte // as it was received, without the question mark
	decoded string // the path that routes are matched with
}

// parseTarget accepts only a path that has one reading. The route is matched
// with the decoded path while the server gets the received one, so that dot
// segments or encoded slashes could lead past the route's rules.
func parseTarget(raw []byte) (target, *badRequest) {
	if len(raw) == 0 || raw[0] != '/' {
		return target{}, malformed("the target must be a path")
	}
	for _, b := range raw {
		if b <= ' ' || b == 0x7f || b == '#' || b == '\\' {
			return target{}, malformed("the target has an invalid character")
		}
	}
	path, query, _ := bytes.Cut(raw, []byte{'?'})
	decoded, ok := decodePath(path)
	if !ok {
		return target{}, malformed("the path has more than one reading")
	}
	return target{raw, path, query, decoded}, nil
}

// decodePath decodes a path. It reports false where two readers could
// disagree about its segments.
func decodePath(path []byte) (string, bool) {
	decoded, ok := unescape(path)
	if !ok || bytes.Count(decoded, []byte{'/'}) != bytes.Count(path, []byte{'/'}) {
		return "", false
	}
	for _, b := range decoded {
		if b < ' ' || b == 0x7f || b == '\\' {
			return "", false
		}
	}
	text := string(decoded)
	return text, isClean(text)
}

// isClean reports whether a path has neither empty nor dot segments. It may
// end with a slash.
func isClean(path string) bool {
	if strings.Contains(path, "//") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// unescape decodes percent-encoding. It reports false, with the malformed
// parts as they are, where an encoding is incomplete.
func unescape(text []byte) ([]byte, bool) {
	if bytes.IndexByte(text, '%') < 0 {
		return text, true
	}
	ok := true
	decoded := make([]byte, 0, len(text))
	for i := 0; i < len(text); i++ {
		if text[i] != '%' {
			decoded = append(decoded, text[i])
			continue
		}
		if i+2 >= len(text) || !isHex(text[i+1]) || !isHex(text[i+2]) {
			ok = false
			decoded = append(decoded, '%')
			continue
		}
		decoded = append(decoded, fromHex(text[i+1])<<4|fromHex(text[i+2]))
		i += 2
	}
	return decoded, ok
}

func isHex(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b|0x20 && b|0x20 <= 'f'
}

func fromHex(b byte) byte {
	if b <= '9' {
		return b - '0'
	}
	return b | 0x20 - 'a' + 10
}
