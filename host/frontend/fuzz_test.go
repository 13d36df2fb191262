package frontend

import (
	"bytes"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// FuzzTarget guards against a path that routes are matched with and that other
// readers of the same target understand differently.
func FuzzTarget(f *testing.F) {
	for _, seed := range []string{"/a/b?c=d", "/a%20b", "/%2e%2e/b", "/a%2Fb", "//a", "/a/./b", "/%", "/a/"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, bad := parseTarget(raw)
		if bad != nil {
			return
		}
		want, err := url.PathUnescape(string(got.path))
		if err != nil || got.decoded != want {
			t.Errorf("%q is read as %q, want %q, %v", raw, got.decoded, want, err)
		}
		if clean := path.Clean(want); clean != want && clean+"/" != want {
			t.Errorf("%q is read as %q, which is not clean", raw, want)
		}
	})
}

// FuzzKey guards against a key in what is passed on to servers, with fields,
// query and body that a caller may choose.
func FuzzKey(f *testing.F) {
	f.Add("secret", "k=secret&a=1", "a=1; k=%73ecret", "X-Secret")
	f.Add("1&y", "x=1&y=2", "", "X")
	f.Fuzz(func(t *testing.T, key, query, cookie, name string) {
		ctx, out := new(fasthttp.RequestCtx), new(fasthttp.Request)
		in := &ctx.Request
		in.Header.SetHost("h")
		in.Header.SetMethod("POST")
		in.Header.Set("Cookie", cookie)
		in.Header.Set(name, cookie)
		in.Header.Add("X-Other", query)
		x := &exchange{ctx: ctx, forward: out}
		target, bad := parseTarget([]byte("/a?" + query))
		if bad != nil || key == "" || x.buildForward(target, []byte(key)) != nil {
			return
		}
		sent := out.Header.Header()
		decoded, _ := unescape(sent)
		if bytes.Contains(sent, []byte(key)) || bytes.Contains(decoded, []byte(key)) {
			t.Errorf("key %q is passed on in %q", key, sent)
		}
		if strings.Contains(string(out.Header.RequestURI()), key) {
			t.Errorf("key %q is passed on in %q", key, out.Header.RequestURI())
		}
	})
}
