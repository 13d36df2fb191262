package backend

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/socket"
)

// conn is a connection to a backend server. One goroutine uses it at a time.
type conn struct {
	server    model.ServerID
	tcp       *net.TCPConn
	raw       syscall.RawConn
	readers   *sync.Pool    // of the transport
	reader    *bufio.Reader // nil while idle
	idleSince time.Time

	header []byte // of the request, reused
	parts  [2][]byte
	out    net.Buffers
}

func newConn(server model.ServerID, tcp *net.TCPConn, readers *sync.Pool) *conn {
	c := &conn{server: server, tcp: tcp, raw: socket.Of(tcp), readers: readers}
	c.attachReader()
	return c
}

func (c *conn) attachReader() {
	c.reader = c.readers.Get().(*bufio.Reader)
	c.reader.Reset(c.tcp)
}

// detachReader gives the buffer back. It must be empty, and no body stream
// may refer to it.
func (c *conn) detachReader() {
	c.reader.Reset(nil)
	c.readers.Put(c.reader)
	c.reader = nil
}

func (c *conn) close() { _ = c.tcp.Close() }

// write writes a message and returns how many of its bytes were accepted.
func (c *conn) write(header, body []byte) (int64, error) {
	c.parts = [2][]byte{header, body}
	c.out = c.parts[:]
	written, err := c.out.WriteTo(c.tcp)
	c.parts = [2][]byte{}
	return written, err
}
