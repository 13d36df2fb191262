package frontend

import (
	"bytes"
	"strings"
)

// target is a request target in origin form (RFC 9112).
type target struct {
	raw         []byte // path and query as received
	path        []byte // as received
	query       []byte // as received, without the question mark
	decodedPath string // percent-decoded, for the matching of routes
}

// parseTarget accepts only unambiguous paths. Routes are matched with the
// decoded path, but the server gets the path as received. Dot segments or
// encoded slashes, if accepted, could bypass the rules of a route.
func parseTarget(raw []byte) (target, *requestError) {
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

// decodePath decodes a path. It returns false if parsers could disagree about
// its segments.
func decodePath(path []byte) (string, bool) {
	decoded, ok := percentDecode(path)
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

// isClean reports whether a path has neither empty nor dot segments. A trailing
// slash is allowed.
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

// percentDecode decodes percent-encoding. If an encoding is malformed, it leaves
// that one unchanged and returns false.
func percentDecode(text []byte) ([]byte, bool) {
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
