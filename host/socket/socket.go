// Package socket looks at connections without reading from them, and bounds how
// many are open.
package socket

import (
	"net"
	"syscall"
)

// State is what a connection has received. The zero value is Closed.
type State uint8

// The states.
const (
	Closed   State = iota // the peer closed it, or it is broken
	Quiet                 // open, nothing to read
	Readable              // there are bytes to read
)

// Of returns the raw form of a connection, nil where it has none.
func Of(c net.Conn) syscall.RawConn {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// Look returns the state of a connection. It does not wait. A connection
// whose read deadline has passed, or without a raw form, is Closed.
func Look(raw syscall.RawConn) State {
	state := Closed
	if raw == nil {
		return state
	}
	_ = raw.Read(func(fd uintptr) bool {
		state = peek(fd)
		return true
	})
	return state
}

// Wait waits until a connection is no longer Quiet and returns its state, or
// Quiet once its read deadline has passed.
func Wait(raw syscall.RawConn) State {
	state := Quiet
	if raw == nil {
		return state
	}
	_ = raw.Read(func(fd uintptr) bool {
		state = peek(fd)
		return state != Quiet
	})
	return state
}

func peek(fd uintptr) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return Quiet
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
