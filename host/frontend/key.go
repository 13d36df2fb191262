package frontend

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"pollensail.dev/host/wire"
)

// readKey returns the client account key, nil where there is none. The result
// refers to the header.
func readKey(d *wire.Dialect, h *fasthttp.RequestHeader) ([]byte, *badRequest) {
	var c credentials
	for name, value := range h.All() {
		switch {
		case d.APIKey != "" && wire.EqualFold(name, d.APIKey):
			c.add(value)
		case wire.EqualFold(name, wire.Authorization):
			c.addAuthorization(value)
		}
	}
	return c.key, c.bad
}

// credentials gathers what a request carries as keys. All of it has to be the
// same.
type credentials struct {
	key           []byte
	authorization []byte
	bad           *badRequest
}

func (c *credentials) addAuthorization(value []byte) {
	if c.authorization != nil && !bytes.Equal(c.authorization, value) {
		c.bad = malformed("two Authorization fields are given")
		return
	}
	c.authorization = value
	scheme, token, _ := bytes.Cut(value, []byte{' '})
	if wire.EqualFold(scheme, "Bearer") {
		c.add(token)
	}
}

func (c *credentials) add(key []byte) {
	key = bytes.TrimSpace(key)
	switch {
	case len(key) == 0:
		c.bad = malformed("the client account key is empty")
	case c.key != nil && !bytes.Equal(c.key, key):
		c.bad = malformed("two client account keys are given")
	default:
		c.key = key
	}
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
