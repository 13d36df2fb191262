package frontend

import (
	"github.com/valyala/fasthttp"

	"pollensail.dev/host/wire"
)

// buildForward builds the request for servers in x.outbound: the end-to-end
// fields of the caller's request without the account key, and the first part of the
// body.
func (x *exchange) buildForward(t target, key []byte) *requestError {
	in, out := &x.ctx.Request, x.outbound
	finder := keyFinder{key}
	if finder.foundInFixedPart(in, t.path) || finder.foundInBody(x.body.parts) {
		return misplacedKeyError()
	}
	out.Header.SetNoDefaultContentType(true)
	out.Header.SetMethodBytes(in.Header.Method())
	out.Header.SetRequestURIBytes(forwardTarget(t, finder))
	copyFields(&out.Header, &in.Header, finder, x.dialect())
	out.SetBodyRaw(x.body.first())
	if finder.foundIn(out.Header.Header()) {
		// A key that contains separators can span several parts.
		return misplacedKeyError()
	}
	return nil
}

func misplacedKeyError() *requestError {
	return malformed("the client account key may only be in " + wire.Authorization + " or a field for keys")
}

// foundInFixedPart reports whether a part of the request that cannot be omitted
// contains the key.
func (k keyFinder) foundInFixedPart(r *fasthttp.Request, path []byte) bool {
	return k.foundIn(path) ||
		k.foundIn(r.Header.Host()) ||
		k.foundInName(r.Header.Method()) ||
		k.foundIn(r.Header.Peek(wire.IdempotencyKey))
}

// forwardTarget returns the target without the query parameters that contain
// the key.
func forwardTarget(t target, finder keyFinder) []byte {
	query := finder.removeParts(t.query, '&')
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

func copyFields(out, in *fasthttp.RequestHeader, finder keyFinder, d *wire.Dialect) {
	listed := wire.ParseConnectionOptions(in.All())
	for name, value := range in.All() {
		if !listed.IsEndToEnd(d, name) || isCredential(d, name) || finder.foundInName(name) {
			continue
		}
		if wire.EqualFold(name, "Cookie") {
			value = finder.removeParts(value, ';')
			if len(value) == 0 {
				continue
			}
		}
		if !finder.foundIn(value) {
			out.AddBytesKV(name, value)
		}
	}
}

// isCredential reports whether a field is meant for keys or other credentials.
// Such fields are never forwarded, whatever their value.
func isCredential(d *wire.Dialect, name []byte) bool {
	isAPIKey := d.APIKey != "" && wire.EqualFold(name, d.APIKey)
	return isAPIKey || wire.EqualFold(name, wire.Authorization)
}
