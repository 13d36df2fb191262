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

// The headers between callers and pollensail.
const (
	headerTimeout  = "Pollensail-Timeout"
	headerVerdict  = "Pollensail-Verdict"
	headerReplayed = "Idempotency-Replayed"
	headerKey      = "Idempotency-Key"
)

// The values of the verdict header.
const (
	NotRun     = "not-run"
	MayHaveRun = "may-have-run"
	Ran        = "ran"
)

// grace is the time beyond its timeout that a caller waits for an answer.
const grace = 500 * time.Millisecond

// maxAnswer bounds an answer in bytes.
const maxAnswer = 64 << 20

type client struct {
	config Config
	http   *http.Client
}

// newClient returns a client on net/http, which notices that the host has
// closed an idle connection before it sends on it, as callers' libraries do.
func newClient(config Config) *client {
	return &client{config: config, http: &http.Client{
		Timeout: config.Timeout + grace,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: config.Outstanding,
			DisableCompression:  true,
		},
	}}
}

// call sends one request until it ended for good.
func (c *client) call(ctx context.Context, index int, due time.Time) Call {
	call := Call{Business: NewUUID(), Sent: time.Now()}
	key := NewUUID()
	for {
		host := c.config.Hosts[(index+call.Tries)%len(c.config.Hosts)]
		call.Tries++
		c.try(&call, host, key)
		if call.Tries > c.config.Retries || !c.retries(call) || ctx.Err() != nil {
			break
		}
	}
	call.Latency = time.Since(due)
	return call
}

func (c *client) retries(call Call) bool {
	if call.Status >= 200 && call.Status < 300 && call.Error == "" {
		return false
	}
	return call.Verdict == NotRun || (c.config.RetryUnknown && call.Verdict == MayHaveRun)
}

func (c *client) try(call *Call, host, key string) {
	call.Host, call.Status, call.Error, call.Reason = host, 0, "", ""
	// Without an answer the request may have run.
	call.Verdict = MayHaveRun
	resp, body, err := c.exchange(c.request(host, call.Business, key))
	if err != nil {
		call.Error = withoutURL(err).Error()
		if errors.Is(err, syscall.ECONNREFUSED) {
			call.Verdict = NotRun
		}
		call.MayHaveRun = call.MayHaveRun || call.Verdict != NotRun
		return
	}
	call.Status = resp.StatusCode
	call.Verdict = cmp.Or(resp.Header.Get(headerVerdict), "none")
	call.Reason = reasonOf(resp.StatusCode, body)
	call.MayHaveRun = call.MayHaveRun || call.Verdict != NotRun
	call.Replayed = resp.Header.Get(headerReplayed) == "true"
	call.Crossed = call.Status == http.StatusOK && !bytes.Contains(body, []byte(call.Business))
}

// withoutURL drops the URL, which differs from call to call, so that a summary
// can count equal errors.
func withoutURL(err error) error {
	var outer *url.Error
	if errors.As(err, &outer) {
		return outer.Err
	}
	return err
}

// exchange sends a request and reads the whole answer.
func (c *client) exchange(req *http.Request) (*http.Response, []byte, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	return resp, body, err
}

// reasonOf returns the reason of a refusal by the fleet, which is JSON.
func reasonOf(status int, body []byte) string {
	var refusal struct {
		Reason string `json:"reason"`
	}
	if status < 400 || json.Unmarshal(body, &refusal) != nil {
		return ""
	}
	return refusal.Reason
}

// onceBody is a body that net/http cannot rewind. Without one, also where it is
// empty, the library sends a request again by itself when a kept connection
// breaks, and its error then is that of the second send.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }

func (c *client) request(host, business, key string) *http.Request {
	separator := "?"
	if strings.Contains(c.config.Path, "?") {
		separator = "&"
	}
	target := "http://" + host + c.config.Path + separator + "business=" + business
	req, err := http.NewRequest(c.config.Method, target, onceBody{strings.NewReader(c.config.Body)})
	if err != nil {
		panic(err) // the settings of the run are no URL
	}
	req.ContentLength = int64(len(c.config.Body))
	req.Header.Set(headerTimeout, c.config.Timeout.String())
	if c.config.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.config.Key)
	}
	if c.config.Idempotent {
		req.Header.Set(headerKey, key)
	}
	return req
}

// NewUUID returns a UUIDv7 (RFC 9562): 48 bits of Unix milliseconds, then
// random bits around version and variant.
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
