package wire

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// MaxTimeout is the longest timeout that a caller may request.
const MaxTimeout = time.Hour

// ErrValue is returned for a header value that cannot be parsed.
var ErrValue = errors.New("invalid header value")

// ParseTimeout parses the value of a Timeout field: a Go duration above zero and
// at most MaxTimeout.
func ParseTimeout(value string) (time.Duration, error) {
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 || timeout > MaxTimeout {
		return 0, ErrValue
	}
	return timeout, nil
}

// AppendTimeout appends the value of a Timeout field to dst, in milliseconds. It
// rounds down, but to no less than 1 ms.
func AppendTimeout(dst []byte, timeout time.Duration) []byte {
	ms := max(timeout.Milliseconds(), 1)
	dst = strconv.AppendInt(dst, ms, 10)
	return append(dst, "ms"...)
}

// maxRetryAfter is the longest time that ParseRetryAfter returns.
const maxRetryAfter = time.Hour

// ParseRetryAfter parses the value of a Retry-After field that is a number of
// seconds above zero, which may have a fraction. It clamps the result to an
// hour. The other form of the field, a date, is an error, because it depends on
// the server's clock.
func ParseRetryAfter(value string) (time.Duration, error) {
	if len(value) > maxRetryAfterBytes {
		return 0, ErrValue
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) {
		return 0, ErrValue
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second)), nil
}

// maxRetryAfterBytes is the maximum length of a Retry-After field.
const maxRetryAfterBytes = 32

// ServerLoad is the load that a backend server reports.
type ServerLoad struct {
	InFlight int // requests, those that wait included
	// Waiting is how many requests wait for a slot, where HasWaiting.
	Waiting    int
	HasWaiting bool
	Slots      int // requests that the server runs at the same time; at least 1
}

// maxLoadValue is the largest number that is accepted in a Load field.
const maxLoadValue = 1 << 20

// ParseLoad parses the value of a Load field, "<inflight>/<slots>".
func ParseLoad(value string) (ServerLoad, error) {
	inFlightText, slotsText, ok := strings.Cut(value, "/")
	if !ok {
		return ServerLoad{}, ErrValue
	}
	inFlight, err := ParseCount(inFlightText)
	if err != nil {
		return ServerLoad{}, err
	}
	slots, err := ParseCount(slotsText)
	if err != nil || slots == 0 {
		return ServerLoad{}, ErrValue
	}
	return ServerLoad{InFlight: inFlight, Slots: slots}, nil
}

// ParseCount parses an unsigned decimal number without spaces, at most
// maxLoadValue.
func ParseCount(digits string) (int, error) {
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || n > maxLoadValue {
		return 0, ErrValue
	}
	return int(n), nil
}
