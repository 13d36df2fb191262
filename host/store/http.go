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

// maxConnections bounds the connections of a process to the store.
const maxConnections = 16

// maxResponseBytes bounds the body of a response. The largest is the host list,
// which has 2 MB at 10,000 entries of 200 bytes.
const maxResponseBytes = 16 << 20

// HTTP is the adapter for the platform's HTTP protocol. Create it with NewHTTP.
//
// A value is at /v1/kv/<key>; its version is the ETag. A PUT has If-Match with
// the expected version, or If-None-Match: * if the key must not exist, and
// receives 412 on a conflict. A GET with ?after=VERSION is a long poll that waits
// for a greater version. The host list is at /v1/hosts. The adapter does not use
// the protocol's leases, /v1/leases/<name>.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns an adapter for the store at an "ip:port" address. Calls have no
// timeout except that of their contexts.
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
	response, err := h.do(ctx, http.MethodPut, keyPath(key), condition, value)
	if err != nil {
		return 0, err
	}
	if err := response.checkStatus(http.StatusOK); err != nil {
		return 0, err
	}
	return response.version()
}

// HostList implements Lister.
func (h *HTTP) HostList(ctx context.Context) ([]model.HostEntry, error) {
	response, err := h.do(ctx, http.MethodGet, "/v1/hosts", nil, nil)
	if err != nil {
		return nil, err
	}
	if err := response.checkStatus(http.StatusOK); err != nil {
		return nil, err
	}
	return decodeHosts(response.body)
}

func (h *HTTP) read(ctx context.Context, path string) ([]byte, uint64, error) {
	response, err := h.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return nil, 0, err
	}
	if response.status == http.StatusNotFound {
		return nil, 0, nil
	}
	if err := response.checkStatus(http.StatusOK); err != nil {
		return nil, 0, err
	}
	version, err := response.version()
	return response.body, version, err
}

type httpResponse struct {
	status int
	etag   string
	body   []byte
}

func (h *HTTP) do(ctx context.Context, method, path string, header http.Header, body []byte) (httpResponse, error) {
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return httpResponse{}, err
	}
	if header != nil {
		req.Header = header
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return httpResponse{}, Unavailable(err)
	}
	defer resp.Body.Close()
	data, err := readAll(resp.Body)
	if err != nil {
		return httpResponse{}, Unavailable(err)
	}
	return httpResponse{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: data}, nil
}

func readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err == nil && len(data) > maxResponseBytes {
		err = fmt.Errorf("response body exceeds %d bytes", maxResponseBytes)
	}
	return data, err
}

// checkStatus maps the HTTP status to an error, nil for the expected status. A
// status that the protocol does not define counts as unavailable, because it says
// nothing about whether a write took effect.
func (a httpResponse) checkStatus(status int) error {
	switch a.status {
	case status:
		return nil
	case http.StatusPreconditionFailed, http.StatusConflict:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	default:
		return Unavailable(fmt.Errorf("unexpected HTTP status %d", a.status))
	}
}

func (a httpResponse) version() (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(a.etag, `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, Unavailable(fmt.Errorf("ETag %q is not a version", a.etag))
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
