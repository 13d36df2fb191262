package store

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"pollensail.dev/decision/model"
)

// maxConnections bounds the connections of a process to the platform store.
const maxConnections = 16

// maxListSize bounds the host list in bytes; at 10,000 entries of 200 bytes it
// has 2 MB.
const maxListSize = 16 << 20

// HTTP is the adapter for the platform's HTTP protocol. Make it with NewHTTP.
//
// A value is at /v1/kv/<key>; its version is the ETag. A PUT carries If-Match
// with the version, or If-None-Match: * where there must be none, and gets 412
// on a conflict. A GET with ?after=VERSION waits for a greater version. The
// host list is at /v1/hosts, a lease at /v1/leases/<name>.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns an adapter for the store at an "ip:port" address. Calls are
// bounded by their contexts only.
func NewHTTP(address string) *HTTP {
	transport := &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &HTTP{base: "http://" + address, client: &http.Client{Transport: transport}}
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) ([]byte, uint64, error) {
	return h.read(ctx, keyPath(key))
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, after uint64) ([]byte, uint64, error) {
	return h.read(ctx, keyPath(key)+"?after="+strconv.FormatUint(after, 10))
}

// CompareAndSwap implements Store.
func (h *HTTP) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	if len(value) > MaxValue {
		return 0, ErrTooLarge
	}
	condition := http.Header{}
	if version == 0 {
		condition.Set("If-None-Match", "*")
	} else {
		condition.Set("If-Match", etag(version))
	}
	answer, err := h.do(ctx, http.MethodPut, keyPath(key), condition, value)
	if err != nil {
		return 0, err
	}
	if err := answer.expect(http.StatusOK); err != nil {
		return 0, err
	}
	return answer.version()
}

// HostList implements Lister.
func (h *HTTP) HostList(ctx context.Context) ([]model.HostEntry, error) {
	answer, err := h.do(ctx, http.MethodGet, "/v1/hosts", nil, nil)
	if err != nil {
		return nil, err
	}
	if err := answer.expect(http.StatusOK); err != nil {
		return nil, err
	}
	return decodeHosts(answer.body)
}

func (h *HTTP) read(ctx context.Context, path string) ([]byte, uint64, error) {
	answer, err := h.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, 0, err
	}
	if answer.status == http.StatusNotFound {
		return nil, 0, nil
	}
	if err := answer.expect(http.StatusOK); err != nil {
		return nil, 0, err
	}
	version, err := answer.version()
	return answer.body, version, err
}

type httpAnswer struct {
	status int
	etag   string
	body   []byte
}

func (h *HTTP) do(ctx context.Context, method, path string, header http.Header, body []byte) (httpAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return httpAnswer{}, err
	}
	if header != nil {
		req.Header = header
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return httpAnswer{}, Unavailable(err)
	}
	defer resp.Body.Close()
	data, err := readAll(resp.Body)
	if err != nil {
		return httpAnswer{}, Unavailable(err)
	}
	return httpAnswer{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: data}, nil
}

func readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxListSize+1))
	if err == nil && len(data) > maxListSize {
		err = fmt.Errorf("answer exceeds %d bytes", maxListSize)
	}
	return data, err
}

// expect maps a status to an error. A status that the protocol does not name
// says nothing about a write, so it counts as unavailable.
func (a httpAnswer) expect(status int) error {
	switch a.status {
	case status:
		return nil
	case http.StatusPreconditionFailed, http.StatusConflict:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return Unavailable(fmt.Errorf("status %d", a.status))
	}
}

func (a httpAnswer) version() (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(a.etag, `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, Unavailable(fmt.Errorf("ETag %q is no version", a.etag))
	}
	return version, nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func keyPath(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return "/v1/kv/" + strings.Join(parts, "/")
}
