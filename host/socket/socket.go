// Package socket peeks at connections without consuming data, and limits the
// number of open connections of a listener.
package socket

import (
	"net"
	"syscall"
)

// State is the state of a connection's receiving side. The zero value is Closed.
type State uint8

// The states of a connection.
const (
	Closed   State = iota // closed by the peer, or failed
	Idle                  // open, no data to read
	Readable              // data to read
)

// RawConn returns the raw connection of c, or nil if c has none.
func RawConn(c net.Conn) syscall.RawConn {
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

// Peek returns the state of a connection without blocking. It returns Closed if
// the read deadline has passed or raw is nil.
func Peek(raw syscall.RawConn) State {
	state := Closed
	if raw == nil {
		return state
	}
	_ = raw.Read(func(fd uintptr) bool {
		state = peekState(fd)
		return true
	})
	return state
}

// WaitReadable blocks until a connection is readable or closed and returns its
// state. It returns Idle if the read deadline passes first or raw is nil.
func WaitReadable(raw syscall.RawConn) State {
	state := Idle
	if raw == nil {
		return state
	}
	_ = raw.Read(func(fd uintptr) bool {
		state = peekState(fd)
		return state != Idle
	})
	return state
}

// peekState checks the receive buffer of a socket by a non-blocking MSG_PEEK.
func peekState(fd uintptr) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case err == syscall.EAGAIN || err == syscall.EINTR:
		return Idle
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
