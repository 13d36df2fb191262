package backend

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"pollensail.dev/decision/model"
)

// headerLimit bounds the header of an answer, in bytes: it has to fit the
// read buffer.
const headerLimit = 16 << 10

// conn is a connection to a backend server. One goroutine uses it at a time.
type conn struct {
	server    model.ServerID
	tcp       *net.TCPConn
	raw       syscall.RawConn // nil where the platform has none
	reader    *bufio.Reader
	idleSince time.Time
	out       []byte // header of the request, reused
}

func newConn(server model.ServerID, tcp *net.TCPConn) *conn {
	raw, err := tcp.SyscallConn()
	if err != nil {
		raw = nil
	}
	return &conn{
		server: server,
		tcp:    tcp,
		raw:    raw,
		reader: bufio.NewReaderSize(tcp, headerLimit),
	}
}

func (c *conn) close() { _ = c.tcp.Close() }

// isQuiet reports whether an idle connection is open and has received nothing
// since its last exchange. It does not wait.
func (c *conn) isQuiet() bool {
	if c.raw == nil || c.reader.Buffered() > 0 {
		return false
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
