package settings

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Address is an "ip:port" address.
type Address string

// UnmarshalText parses an address. Host names are rejected, because processes
// connect to each other by IP address.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return mismatchError(string(text), `an address such as "127.0.0.1:8080"`)
	}
	*a = Address(text)
	return nil
}

// Duration is a positive time span, written with a unit, such as "250ms".
type Duration time.Duration

// UnmarshalText parses a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v <= 0 {
		return mismatchError(string(text), `a positive duration such as "5s" or "250ms"`)
	}
	*d = Duration(v)
	return nil
}

// Size is a positive number of bytes, written with a unit, such as "64KiB".
type Size int64

// The units of Size.
const (
	Byte Size = 1
	KiB       = 1024 * Byte
	MiB       = 1024 * KiB
)

// maxSize ensures that a size fits into an int on 32-bit platforms too.
const maxSize = 1024 * MiB

// Memory is the memory of a process in bytes, written in MiB, such as "284MiB".
type Memory int64

// minMemory is the least memory of a process in MiB. Without requests, a small fleet's
// process holds some 30 MiB.
const minMemory = 64

// UnmarshalText parses an amount of memory.
func (m *Memory) UnmarshalText(text []byte) error {
	number, ok := strings.CutSuffix(string(text), "MiB")
	n, err := strconv.ParseUint(number, 10, 31)
	if !ok || err != nil || n > 0 && n < minMemory {
		return mismatchError(string(text), `an amount of memory of at least 64MiB, such as "284MiB", or "0MiB" for no bound`)
	}
	*m = Memory(n) * Memory(MiB)
	return nil
}

var sizeUnits = []struct {
	suffix string
	unit   Size
}{{"KiB", KiB}, {"MiB", MiB}, {"B", Byte}}

// UnmarshalText parses a size.
func (s *Size) UnmarshalText(text []byte) error {
	for _, u := range sizeUnits {
		number, ok := strings.CutSuffix(string(text), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(number, 10, 31)
		if err != nil || n == 0 || Size(n) > maxSize/u.unit {
			break
		}
		*s = Size(n) * u.unit
		return nil
	}
	return mismatchError(string(text), `a size of 1B to 1024MiB, such as "64KiB"`)
}

func mismatchError(got, want string) error {
	return fmt.Errorf("got %q, expected %s", got, want)
}
