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

// maxIdempotencyKeyBytes is the maximum length of an Idempotency-Key.
const maxIdempotencyKeyBytes = 256

// requestError describes why the front end refuses a request without involving
// the reducer. Such a request has not run.
type requestError struct {
	status  int
	reason  model.Reason
	message string
}

func malformed(message string) *requestError {
	return &requestError{fasthttp.StatusBadRequest, model.ReasonMalformed, message}
}

// parseRequest converts the header of the caller's request to the event for the
// reducer. It also returns the target and the client account key.
func (f *Frontend) parseRequest(x *exchange) (event.RequestArrived, target, []byte, *requestError) {
	in := &x.ctx.Request
	arrived := event.RequestArrived{
		Request: x.id,
		Name:    x.externalID,
		Host:    hostName(in.Header.Host()),
		Method:  string(in.Header.Method()),
	}
	if reqErr := checkProtocol(&in.Header); reqErr != nil {
		return arrived, target{}, nil, reqErr
	}
	t, reqErr := parseTarget(in.Header.RequestURI())
	if reqErr != nil {
		return arrived, t, nil, reqErr
	}
	arrived.Path = t.decodedPath
	key, reqErr := accountKey(&f.options.Dialect, &in.Header)
	if reqErr != nil {
		return arrived, t, nil, reqErr
	}
	if reqErr := f.parseFields(&in.Header, &arrived); reqErr != nil {
		return arrived, t, nil, reqErr
	}
	if len(key) > 0 {
		arrived.HasKey = true
		arrived.Key = sha256.Sum256(key)
	}
	return arrived, t, key, nil
}

// checkProtocol refuses requests with malformed fields or ambiguous framing, which
// could lead to request smuggling, and versions other than HTTP/1.1.
func checkProtocol(h *fasthttp.RequestHeader) *requestError {
	if !h.IsHTTP11() {
		return malformed("HTTP/1.1 is required")
	}
	if err := wire.CheckRequestFields(h.RawHeaders()); err != nil {
		return malformed(err.Error())
	}
	return nil
}

// parseFields parses the header fields that the reducer needs.
func (f *Frontend) parseFields(h *fasthttp.RequestHeader, arrived *event.RequestArrived) *requestError {
	timeout, reqErr := parseTimeout(&f.options.Dialect, h)
	if reqErr != nil {
		return reqErr
	}
	arrived.Timeout = timeout
	arrived.IdempotencyKey, reqErr = parseIdempotencyKey(h)
	return reqErr
}

func parseTimeout(d *wire.Dialect, h *fasthttp.RequestHeader) (time.Duration, *requestError) {
	value, found, consistent := singleValue(h, d.Timeout)
	if !found {
		return 0, nil
	}
	timeout, err := d.ParseTimeout(value)
	if err != nil || !consistent {
		return 0, malformed(d.Timeout + " must be one duration of at most " + wire.MaxTimeout.String())
	}
	return timeout, nil
}

// parseIdempotencyKey returns the idempotency key without the quotes that the
// IETF draft requires; they are optional here.
func parseIdempotencyKey(h *fasthttp.RequestHeader) (string, *requestError) {
	value, found, consistent := singleValue(h, wire.IdempotencyKey)
	if !found {
		return "", nil
	}
	if n := len(value); n >= 2 && value[0] == '"' && value[n-1] == '"' {
		value = value[1 : n-1]
	}
	if value == "" || len(value) > maxIdempotencyKeyBytes || !consistent {
		return "", malformed(wire.IdempotencyKey + " must be one key")
	}
	return value, nil
}

// singleValue returns the value of a field, and whether all its occurrences
// have the same value.
func singleValue(h *fasthttp.RequestHeader, name string) (value string, found, consistent bool) {
	consistent = true
	for _, v := range h.PeekAll(name) {
		if found && string(v) != value {
			consistent = false
		}
		value = string(v)
		found = true
	}
	return value, found, consistent
}

// hostName returns the host of a Host field in lower case, without the port.
func hostName(field []byte) string {
	name := strings.ToLower(string(field))
	if host, _, err := net.SplitHostPort(name); err == nil {
		return host
	}
	return name
}

// requestFingerprint hashes the request as servers get it. Retries thus have the
// same fingerprint even if they carry the account key in different places.
func requestFingerprint(r *fasthttp.Request, b *body) model.Fingerprint {
	hash := sha256.New()
	writeSize := func(size int) {
		var encoded [8]byte
		binary.BigEndian.PutUint64(encoded[:], uint64(size))
		hash.Write(encoded[:])
	}
	for _, part := range [][]byte{r.Header.Method(), r.Header.RequestURI()} {
		writeSize(len(part))
		hash.Write(part)
	}
	writeSize(b.size)
	for _, part := range b.parts {
		hash.Write(part)
	}
	var f model.Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}
