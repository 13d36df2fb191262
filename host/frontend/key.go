package frontend

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"pollensail.dev/host/wire"
)

// accountKey returns the client account key, or nil if there is none. The result
// refers to the memory of the header.
func accountKey(d *wire.Dialect, h *fasthttp.RequestHeader) ([]byte, *requestError) {
	var c credentials
	for name, value := range h.All() {
		switch {
		case d.APIKey != "" && wire.EqualFold(name, d.APIKey):
			c.add(value)
		case wire.EqualFold(name, wire.Authorization):
			c.addAuthorization(value)
		}
	}
	return c.key, c.reqErr
}

// credentials collects the client account keys in a request. All of them have to
// be equal.
type credentials struct {
	key           []byte
	authorization []byte
	reqErr        *requestError
}

func (c *credentials) addAuthorization(value []byte) {
	if c.authorization != nil && !bytes.Equal(c.authorization, value) {
		c.reqErr = malformed("two Authorization fields are given")
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
		c.reqErr = malformed("the client account key is empty")
	case c.key != nil && !bytes.Equal(c.key, key):
		c.reqErr = malformed("two client account keys are given")
	default:
		c.key = key
	}
}

// keyFinder searches for a client account key in data that is forwarded to
// servers. The zero value finds nothing.
type keyFinder struct{ key []byte }

// foundIn reports whether text contains the key, plain or percent-encoded.
func (k keyFinder) foundIn(text []byte) bool {
	if len(k.key) == 0 {
		return false
	}
	if bytes.Contains(text, k.key) {
		return true
	}
	if bytes.IndexByte(text, '%') < 0 {
		return false
	}
	decoded, _ := percentDecode(text)
	return bytes.Contains(decoded, k.key)
}

// foundInName reports whether a name, such as that of a header field, contains
// the key, ignoring case.
func (k keyFinder) foundInName(name []byte) bool {
	if len(k.key) == 0 || len(name) < len(k.key) {
		return false
	}
	return bytes.Contains(bytes.ToLower(name), bytes.ToLower(k.key))
}

// removeParts returns text without the parts that contain the key. Parts are
// separated by separator.
func (k keyFinder) removeParts(text []byte, separator byte) []byte {
	if !k.foundIn(text) {
		return text
	}
	var kept [][]byte
	for part := range bytes.SplitSeq(text, []byte{separator}) {
		if !k.foundIn(part) {
			kept = append(kept, part)
		}
	}
	return bytes.Join(kept, []byte{separator})
}
