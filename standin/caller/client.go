package caller

import (
	"bytes"
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
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
	config  Config
	clients []*fasthttp.HostClient // one for each host
}

func newClient(config Config) *client {
	c := &client{config: config}
	for _, host := range config.Hosts {
		c.clients = append(c.clients, &fasthttp.HostClient{
			Addr:                     host,
			MaxConns:                 config.Outstanding,
			MaxResponseBodySize:      maxAnswer,
			NoDefaultUserAgentHeader: true,
			// The caller decides itself what is sent again.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		})
	}
	return c
}

// call sends one request until it ended for good.
func (c *client) call(ctx context.Context, index int, due time.Time) Call {
	call := Call{Business: newUUID(), Sent: time.Now()}
	key := newUUID()
	for {
		host := (index + call.Tries) % len(c.clients)
		call.Tries++
		c.try(&call, c.clients[host], key)
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

func (c *client) try(call *Call, host *fasthttp.HostClient, key string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, host.Addr, call.Business, key)
	call.Host, call.Status, call.Error, call.Reason = host.Addr, 0, "", ""
	// Without an answer the request may have run.
	call.Verdict = MayHaveRun
	err := host.DoTimeout(req, resp, c.config.Timeout+grace)
	if err != nil {
		call.Error = err.Error()
		if strings.Contains(call.Error, "connection refused") {
			call.Verdict = NotRun
		}
		call.MayHaveRun = call.MayHaveRun || call.Verdict != NotRun
		return
	}
	call.Status = resp.StatusCode()
	call.Verdict = cmp.Or(string(resp.Header.Peek(headerVerdict)), "none")
	call.Reason = reasonOf(resp)
	call.MayHaveRun = call.MayHaveRun || call.Verdict != NotRun
	call.Replayed = string(resp.Header.Peek(headerReplayed)) == "true"
	call.Crossed = call.Status == fasthttp.StatusOK && !bytes.Contains(resp.Body(), []byte(call.Business))
}

// reasonOf returns the reason of a refusal by the fleet, which is JSON.
func reasonOf(resp *fasthttp.Response) string {
	var refusal struct {
		Reason string `json:"reason"`
	}
	if resp.StatusCode() < 400 || json.Unmarshal(resp.Body(), &refusal) != nil {
		return ""
	}
	return refusal.Reason
}

func (c *client) fill(req *fasthttp.Request, host, business, key string) {
	req.Header.SetMethod(cmp.Or(c.config.Method, fasthttp.MethodGet))
	separator := "?"
	if strings.Contains(c.config.Path, "?") {
		separator = "&"
	}
	req.SetRequestURI("http://" + host + c.config.Path + separator + "business=" + business)
	req.Header.Set(headerTimeout, c.config.Timeout.String())
	if c.config.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.config.Key)
	}
	if c.config.Idempotent {
		req.Header.Set(headerKey, key)
	}
	req.SetBodyString(c.config.Body)
}

// newUUID returns a UUIDv7 (RFC 9562): 48 bits of Unix milliseconds, then
// random bits around version and variant.
func newUUID() string {
	var b [16]byte
	rand.Read(b[:])
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(time.Now().UnixMilli()))
	copy(b[:6], ms[2:])
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[:4], b[4:6], b[6:8], b[8:10], b[10:])
}
