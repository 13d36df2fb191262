package caller

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"
)

// The header fields of requests and responses between callers and pollensail.
const (
	headerTimeout        = "Pollensail-Timeout"
	headerVerdict        = "Pollensail-Verdict"
	headerReplayed       = "Idempotency-Replayed"
	headerIdempotencyKey = "Idempotency-Key"
)

// The values of the verdict header field.
const (
	NotRun     = "not-run"
	MayHaveRun = "may-have-run"
	Ran        = "ran"
)

// responseGrace is how long a caller waits for a response beyond its timeout.
const responseGrace = 500 * time.Millisecond

// maxResponseBytes limits how much of a response body is read.
const maxResponseBytes = 64 << 20

type client struct {
	config Config
	http   *http.Client
}

// newClient returns a client that uses net/http. Like the HTTP libraries of real
// callers, it notices that the host has closed an idle connection before it reuses
// that connection.
func newClient(config Config) *client {
	return &client{config: config, http: &http.Client{
		Timeout: config.Timeout + responseGrace,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: config.Outstanding,
			DisableCompression:  true,
		},
	}}
}

// call sends one request, with retries as configured, and returns its outcome.
func (c *client) call(ctx context.Context, index int, due time.Time) CallResult {
	call := CallResult{BusinessID: NewUUID(), SentAt: time.Now()}
	idempotencyKey := NewUUID()
	for {
		host := c.config.Hosts[(index+call.Tries)%len(c.config.Hosts)]
		call.Tries++
		c.attempt(&call, host, idempotencyKey)
		if call.Tries > c.config.Retries || !c.shouldRetry(call) || ctx.Err() != nil {
			break
		}
	}
	call.Latency = time.Since(due)
	return call
}

// shouldRetry reports whether a failed request is safe to send again or, with
// RetryUnknown, may have run.
func (c *client) shouldRetry(call CallResult) bool {
	if call.Status >= 200 && call.Status < 300 && call.Error == "" {
		return false
	}
	return call.Verdict == NotRun || (c.config.RetryUnknown && call.Verdict == MayHaveRun)
}

// attempt sends the request once to a host and records the outcome in call.
func (c *client) attempt(call *CallResult, host, idempotencyKey string) {
	call.Host, call.Status, call.Error, call.Reason = host, 0, "", ""
	// Without a response the request may have run.
	call.Verdict = MayHaveRun
	resp, body, err := c.exchange(c.newRequest(host, call.BusinessID, idempotencyKey))
	if err != nil {
		call.Error = unwrapURLError(err).Error()
		if errors.Is(err, syscall.ECONNREFUSED) {
			call.Verdict = NotRun
		}
		call.MayHaveRun = call.MayHaveRun || call.Verdict != NotRun
		return
	}
	call.Status = resp.StatusCode
	call.Verdict = cmp.Or(resp.Header.Get(headerVerdict), "none")
	call.Reason = refusalReason(resp.StatusCode, body)
	call.MayHaveRun = call.MayHaveRun || call.Verdict != NotRun
	call.Replayed = resp.Header.Get(headerReplayed) == "true"
	call.Crossed = call.Status == http.StatusOK && !bytes.Contains(body, []byte(call.BusinessID))
}

// unwrapURLError removes the URL, which differs for each call, from an error, so
// that a summary counts equal errors together.
func unwrapURLError(err error) error {
	var outer *url.Error
	if errors.As(err, &outer) {
		return outer.Err
	}
	return err
}

// exchange sends a request and reads the response with its body.
func (c *client) exchange(req *http.Request) (*http.Response, []byte, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return resp, body, err
}

// refusalReason returns the reason in the JSON body of a refusal by the fleet, or
// an empty string for any other response.
func refusalReason(status int, body []byte) string {
	var refusal struct {
		Reason string `json:"reason"`
	}
	if status < 400 || json.Unmarshal(body, &refusal) != nil {
		return ""
	}
	return refusal.Reason
}

// nonRewindableBody is a request body that net/http cannot rewind, which disables
// the library's own retries. It is also used for empty bodies: otherwise the
// library sends the request again when a reused connection breaks, and returns only
// the error of the second try.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

func (c *client) newRequest(host, business, idempotencyKey string) *http.Request {
	separator := "?"
	if strings.Contains(c.config.Path, "?") {
		separator = "&"
	}
	target := "http://" + host + c.config.Path + separator + "business=" + business
	req, err := http.NewRequest(c.config.Method, target, nonRewindableBody{strings.NewReader(c.config.Body)})
	if err != nil {
		panic(err) // the method, host or path of the configuration is invalid
	}
	req.ContentLength = int64(len(c.config.Body))
	req.Header.Set(headerTimeout, c.config.Timeout.String())
	if c.config.APIKey != "" {
		req.Header.Set("Authorization", "Bearer "+c.config.APIKey)
	}
	if c.config.Idempotent {
		req.Header.Set(headerIdempotencyKey, idempotencyKey)
	}
	return req
}

// NewUUID returns a UUIDv7 (RFC 9562): a Unix timestamp of 48 bits in
// milliseconds, then random bits around the version and variant.
func NewUUID() string {
	var b [16]byte
	rand.Read(b[:])
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(time.Now().UnixMilli()))
	copy(b[:6], ms[2:])
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}
