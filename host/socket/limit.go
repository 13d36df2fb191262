package socket

import (
	"net"
	"sync"
	"syscall"
)

// LimitListener returns a listener that accepts at most n connections at a
// time. Further connections wait in the system's accept backlog.
func LimitListener(l net.Listener, n int) net.Listener {
	return &limitedListener{Listener: l, semaphore: make(chan struct{}, n), closed: make(chan struct{})}
}

// limitedListener holds one unit of the semaphore per open connection.
type limitedListener struct {
	net.Listener
	semaphore chan struct{}
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.semaphore <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.semaphore
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.semaphore })}, nil
}

// Close implements net.Listener.
func (l *limitedListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its unit of the semaphore when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, as that of net.TCPConn does.
func (c *limitedConn) CloseWrite() error {
	inner, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.EINVAL
	}
	return inner.CloseWrite()
}

// SyscallConn implements syscall.Conn, so that the raw connection of the inner
// connection stays accessible.
func (c *limitedConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return inner.SyscallConn()
}
