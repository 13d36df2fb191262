package frontend

import (
	"crypto/sha256"
	"encoding/binary"
	"net"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

// maxIdempotencyKey bounds an Idempotency-Key, in bytes.
const maxIdempotencyKey = 256

// badRequest is a request that the front end refuses by itself. It has not
// run.
type badRequest struct {
	status  int
	reason  model.Reason
	message string
}

func malformed(message string) *badRequest {
	return &badRequest{fasthttp.StatusBadRequest, model.ReasonMalformed, message}
}

// read turns the caller's request into an event and into x.forward, the
// request as servers get it.
func (f *Frontend) read(x *exchange) (event.RequestArrived, *badRequest) {
	in := &x.ctx.Request
	arrived := event.RequestArrived{
		Request: x.id,
		Name:    x.name,
		Host:    hostName(in.Header.Host()),
		Method:  string(in.Header.Method()),
	}
	if bad := checkProtocol(&in.Header); bad != nil {
		return arrived, bad
	}
	target, bad := parseTarget(in.Header.RequestURI())
	if bad != nil {
		return arrived, bad
	}
	arrived.Path = target.decoded
	key, bad := readKey(&f.options.Dialect, &in.Header)
	if bad != nil {
		return arrived, bad
	}
	if bad := f.readFields(&in.Header, &arrived); bad != nil {
		return arrived, bad
	}
	if bad := x.buildForward(target, key); bad != nil {
		return arrived, bad
	}
	if len(key) > 0 {
		arrived.HasKey = true
		arrived.Key = sha256.Sum256(key)
	}
	arrived.Fingerprint = fingerprint(x.forward)
	return arrived, nil
}

// checkProtocol refuses what cannot be forwarded without doubt about where
// the message ends.
func checkProtocol(h *fasthttp.RequestHeader) *badRequest {
	if !h.IsHTTP11() {
		return malformed("HTTP/1.1 is required")
	}
	if err := wire.CheckFraming(h.RawHeaders()); err != nil {
		return malformed(err.Error())
	}
	return nil
}

// readFields reads the fields that concern the reducer.
func (f *Frontend) readFields(h *fasthttp.RequestHeader, arrived *event.RequestArrived) *badRequest {
	timeout, bad := readTimeout(&f.options.Dialect, h)
	if bad != nil {
		return bad
	}
	arrived.Timeout = timeout
	arrived.IdempotencyKey, bad = readIdempotencyKey(h)
	return bad
}

func readTimeout(d *wire.Dialect, h *fasthttp.RequestHeader) (time.Duration, *badRequest) {
	value, found, same := single(h, d.Timeout)
	if !found {
		return 0, nil
	}
	timeout, err := d.ParseTimeout(value)
	if err != nil || !same {
		return 0, malformed(d.Timeout + " must be one duration of at most " + wire.MaxTimeout.String())
	}
	return timeout, nil
}

// readIdempotencyKey reads the key, which the IETF draft puts in quotes.
func readIdempotencyKey(h *fasthttp.RequestHeader) (string, *badRequest) {
	value, found, same := single(h, wire.IdempotencyKey)
	if !found {
		return "", nil
	}
	if n := len(value); n >= 2 && value[0] == '"' && value[n-1] == '"' {
		value = value[1 : n-1]
	}
	if value == "" || len(value) > maxIdempotencyKey || !same {
		return "", malformed(wire.IdempotencyKey + " must be one key")
	}
	return value, nil
}

// single returns the value of a field, and whether its repetitions are the
// same.
func single(h *fasthttp.RequestHeader, name string) (value string, found, same bool) {
	same = true
	for _, v := range h.PeekAll(name) {
		if found && string(v) != value {
			same = false
		}
		value = string(v)
		found = true
	}
	return value, found, same
}

// hostName returns the name in a Host field: in lower case, without the port.
func hostName(field []byte) string {
	name := strings.ToLower(string(field))
	if host, _, err := net.SplitHostPort(name); err == nil {
		return host
	}
	return name
}

// fingerprint is taken of what servers get, so that a key in another place
// makes no other request.
func fingerprint(r *fasthttp.Request) model.Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{r.Header.Method(), r.Header.RequestURI(), r.Body()} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		hash.Write(size[:])
		hash.Write(part)
	}
	var f model.Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}
