package frontend

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"pollensail.dev/host/wire"
)

var bearer = []byte("Bearer ")

// readKey returns the client account key, nil where there is none. The result
// refers to the header.
func readKey(h *fasthttp.RequestHeader) ([]byte, *badRequest) {
	var key, authorization []byte
	for name, value := range h.All() {
		candidate := value
		switch {
		case wire.EqualFold(name, wire.APIKey):
		case wire.EqualFold(name, wire.Authorization):
			if authorization != nil && !bytes.Equal(authorization, value) {
				return nil, malformed("Authorization is given twice")
			}
			authorization = value
			if len(value) < len(bearer) || !bytes.EqualFold(value[:len(bearer)], bearer) {
				continue
			}
			candidate = value[len(bearer):]
		default:
			continue
		}
		candidate = bytes.TrimSpace(candidate)
		if len(candidate) == 0 {
			return nil, malformed("the client account key is empty")
		}
		if key != nil && !bytes.Equal(key, candidate) {
			return nil, malformed("two client account keys are given")
		}
		key = candidate
	}
	return key, nil
}

// secret finds a client account key in what is passed on to servers. The zero
// value finds nothing.
type secret struct{ key []byte }

// isIn reports whether text shows the key, plain or percent-encoded.
func (s secret) isIn(text []byte) bool {
	if len(s.key) == 0 {
		return false
	}
	if bytes.Contains(text, s.key) {
		return true
	}
	if bytes.IndexByte(text, '%') < 0 {
		return false
	}
	decoded, _ := unescape(text)
	return bytes.Contains(decoded, s.key)
}

// isInName reports whether a field's name, which has no case, shows the key.
func (s secret) isInName(name []byte) bool {
	if len(s.key) == 0 || len(name) < len(s.key) {
		return false
	}
	return bytes.Contains(bytes.ToLower(name), bytes.ToLower(s.key))
}

// stripParts returns text without the parts that show the key. Parts are
// separated by separator.
func (s secret) stripParts(text []byte, separator byte) []byte {
	if !s.isIn(text) {
		return text
	}
	var kept [][]byte
	for part := range bytes.SplitSeq(text, []byte{separator}) {
		if !s.isIn(part) {
			kept = append(kept, part)
		}
	}
	return bytes.Join(kept, []byte{separator})
}
