package frontend

import (
	"github.com/valyala/fasthttp"

	"pollensail.dev/host/wire"
)

// buildForward makes the request that servers get: the end-to-end fields
// without the key. It shares the body with the caller's request.
func (x *exchange) buildForward(t target, key []byte) *badRequest {
	in, out := &x.ctx.Request, x.forward
	hidden := secret{key}
	body := in.Body()
	if hidden.isInFixedPart(in, t.path) || hidden.isIn(body) {
		return misplacedKey()
	}
	out.Header.SetNoDefaultContentType(true)
	out.Header.SetMethodBytes(in.Header.Method())
	out.Header.SetRequestURIBytes(forwardTarget(t, hidden))
	copyFields(&out.Header, &in.Header, hidden, x.dialect())
	out.SetBodyRaw(body)
	if hidden.isIn(out.Header.Header()) {
		// A key may have separators of its own and reach across parts.
		return misplacedKey()
	}
	return nil
}

func misplacedKey() *badRequest {
	return malformed("the client account key may only be in " + wire.Authorization + " or a field for keys")
}

// isInFixedPart reports whether the key is in a part of the request that
// cannot be left out.
func (s secret) isInFixedPart(r *fasthttp.Request, path []byte) bool {
	return s.isIn(path) ||
		s.isIn(r.Header.Host()) ||
		s.isInName(r.Header.Method()) ||
		s.isIn(r.Header.Peek(wire.IdempotencyKey))
}

// forwardTarget returns the target without the query parameters that show the
// key.
func forwardTarget(t target, hidden secret) []byte {
	query := hidden.stripParts(t.query, '&')
	if len(query) == len(t.query) {
		return t.raw
	}
	if len(query) == 0 {
		return t.path
	}
	out := make([]byte, 0, len(t.path)+1+len(query))
	out = append(out, t.path...)
	out = append(out, '?')
	return append(out, query...)
}

func copyFields(out, in *fasthttp.RequestHeader, hidden secret, d *wire.Dialect) {
	listed := wire.ConnectionOf(in.All())
	for name, value := range in.All() {
		if !listed.IsEndToEnd(d, name) || isCredential(d, name) || hidden.isInName(name) {
			continue
		}
		if wire.EqualFold(name, "Cookie") {
			value = hidden.stripParts(value, ';')
			if len(value) == 0 {
				continue
			}
		}
		if !hidden.isIn(value) {
			out.AddBytesKV(name, value)
		}
	}
}

// isCredential reports whether a field may carry a key, also one that is not
// this request's.
func isCredential(d *wire.Dialect, name []byte) bool {
	isAPIKey := d.APIKey != "" && wire.EqualFold(name, d.APIKey)
	return isAPIKey || wire.EqualFold(name, wire.Authorization)
}
