package wire

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestParseTimeout guards against timeouts outside the allowed range, and against
// rounding up.
func TestParseTimeout(t *testing.T) {
	c := qt.New(t)
	for value, want := range map[string]time.Duration{
		"800ms": 800 * time.Millisecond, "1h": time.Hour, "1ns": 1,
		"": 0, "0s": 0, "-1s": 0, "1h1ns": 0, "800": 0, "1e9s": 0, "99999999999h": 0,
	} {
		got, err := ParseTimeout(value)
		c.Check(got, qt.Equals, want, qt.Commentf("%q", value))
		c.Check(err == nil, qt.Equals, want > 0, qt.Commentf("%q", value))
	}
	c.Check(string(AppendTimeout(nil, 799999*time.Microsecond)), qt.Equals, "799ms")
	c.Check(string(AppendTimeout(nil, time.Microsecond)), qt.Equals, "1ms")
}

// TestParseRetryAfter guards against pauses of a wrong length, and against
// accepting a field that cannot be read.
func TestParseRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"1": time.Second, "0.25": 250 * time.Millisecond, "3600": time.Hour, "1e9": time.Hour, "+Inf": time.Hour,
	} {
		got, err := ParseRetryAfter(value)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%q", value))
		qt.Check(t, got, qt.Equals, want, qt.Commentf("%q", value))
	}
	for _, value := range []string{"", "x", "0", "-1", "NaN", "1s", "1, 2", "Fri, 31 Dec 1999 23:59:59 GMT", strings.Repeat("1", 40)} {
		_, err := ParseRetryAfter(value)
		qt.Check(t, err, qt.Equals, ErrValue, qt.Commentf("%q", value))
	}
}

// TestParseLoad guards against accepting a malformed load.
func TestParseLoad(t *testing.T) {
	c := qt.New(t)
	got, err := ParseLoad("2/6")
	c.Check(err, qt.IsNil)
	c.Check(got, qt.Equals, ServerLoad{InFlight: 2, Slots: 6})
	for _, value := range []string{"", "2", "2/", "/6", "2/0", "-1/6", "+1/6", " 2/6", "2/6/1", "2/99999999"} {
		_, err := ParseLoad(value)
		c.Check(err, qt.Equals, ErrValue, qt.Commentf("%q", value))
	}
}

// FuzzValues guards against panics and out-of-range results for any value.
func FuzzValues(f *testing.F) {
	for _, seed := range []string{"800ms", "2/6", "-1/6", "1e9s", "9223372036854775807ns"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, value string) {
		timeout, err := ParseTimeout(value)
		if err == nil && (timeout <= 0 || timeout > MaxTimeout) {
			t.Errorf("ParseTimeout(%q) = %v", value, timeout)
		}
		load, err := ParseLoad(value)
		if err == nil && (load.Slots < 1 || load.InFlight < 0 || load.Slots > maxLoadValue) {
			t.Errorf("ParseLoad(%q) = %+v", value, load)
		}
	})
}
