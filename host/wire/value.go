package wire

import (
	"errors"
	"strconv"
	"strings"
	"time"
)

// MaxTimeout is the longest timeout that a caller may ask for.
const MaxTimeout = time.Hour

// ErrValue is returned for a header value that cannot be parsed.
var ErrValue = errors.New("invalid header value")

// ParseTimeout parses a Timeout field, a Go duration above zero and at most
// MaxTimeout.
func ParseTimeout(value string) (time.Duration, error) {
	timeout, err := time.ParseDuration(value)
	if err != nil || timeout <= 0 || timeout > MaxTimeout {
		return 0, ErrValue
	}
	return timeout, nil
}

// AppendTimeout appends the value of a Timeout field to dst, in whole
// milliseconds. It rounds down, and up to 1 ms where less is left.
func AppendTimeout(dst []byte, timeout time.Duration) []byte {
	ms := max(timeout.Milliseconds(), 1)
	dst = strconv.AppendInt(dst, ms, 10)
	return append(dst, "ms"...)
}

// ServerLoad is what a backend server reports about its load.
type ServerLoad struct {
	InFlight int
	Slots    int // at least 1
}

// maxLoadNumber bounds the numbers of a Load field.
const maxLoadNumber = 1 << 20

// ParseLoad parses a Load field.
func ParseLoad(value string) (ServerLoad, error) {
	left, right, ok := strings.Cut(value, "/")
	if !ok {
		return ServerLoad{}, ErrValue
	}
	inFlight, err := parseCount(left)
	if err != nil {
		return ServerLoad{}, err
	}
	slots, err := parseCount(right)
	if err != nil || slots == 0 {
		return ServerLoad{}, ErrValue
	}
	return ServerLoad{InFlight: inFlight, Slots: slots}, nil
}

// parseCount parses a decimal number without sign or space.
func parseCount(digits string) (int, error) {
	n, err := strconv.ParseUint(digits, 10, 32)
	if err != nil || n > maxLoadNumber {
		return 0, ErrValue
	}
	return int(n), nil
}
