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
	Quiet                 // idle: open, no data to read
	Readable              // data to read
)

// Of returns the raw connection of c, or nil if c has none.
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

// Look returns the state of a connection without blocking. It returns Closed if
// the read deadline has passed or raw is nil.
func Look(raw syscall.RawConn) State {
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

// Wait blocks until a connection is readable or closed and returns its state. If
// the read deadline passes first, or raw is nil, the state is the idle one.
func Wait(raw syscall.RawConn) State {
	state := Quiet
	if raw == nil {
		return state
	}
	_ = raw.Read(func(fd uintptr) bool {
		state = peekState(fd)
		return state != Quiet
	})
	return state
}

// peekState checks the receive buffer of a socket by a non-blocking MSG_PEEK.
func peekState(fd uintptr) State {
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
