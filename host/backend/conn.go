package backend

import (
	"bufio"
	"hash/maphash"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/socket"
)

// conn is a connection to a backend server. One goroutine uses it at a time.
type conn struct {
	server     model.ServerID
	tcp        *net.TCPConn
	rawConn    syscall.RawConn
	readerPool *sync.Pool    // the transport's
	reader     *bufio.Reader // nil while idle
	idleSince  time.Time
	// carriedHead says that a HEAD request was sent, the response to which has no body
	// whatever its header says.
	carriedHead bool
	// sentIDs are the hashes of the IDs of all requests that were sent. No ID is sent
	// twice, so a response with an ID belongs to the one attempt that sent it here.
	sentIDs []uint64
	// hadAnonymous says that a response had no ID, so that a late copy of it would have
	// none either.
	hadAnonymous bool

	requestHeader []byte // buffer for the encoded request header, reused

	// segments and unwritten belong to write. As local variables they would be
	// allocated on the heap for each request.
	segments  [2][]byte
	unwritten net.Buffers
}

func newConn(server model.ServerID, tcp *net.TCPConn, readers *sync.Pool) *conn {
	c := &conn{server: server, tcp: tcp, rawConn: socket.RawConn(tcp), readerPool: readers}
	c.attachReader()
	return c
}

func (c *conn) attachReader() {
	c.reader = c.readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c.tcp)
}

// detachReader returns the read buffer to its pool. The buffer must be empty,
// and no body stream may refer to it.
func (c *conn) detachReader() {
	c.reader.Reset(nil)
	c.readerPool.Put(c.reader)
	c.reader = nil
}

// maxConnRequests is the maximum number of requests on a connection. It bounds what a
// connection keeps of their IDs.
const maxConnRequests = 256

// idSeed is the seed of the hashes of request IDs, so that callers cannot choose IDs with
// equal hashes.
var idSeed = maphash.MakeSeed()

// noteSent records a request that is sent.
func (c *conn) noteSent(id string, isHead bool) {
	c.carriedHead = c.carriedHead || isHead
	c.sentIDs = append(c.sentIDs, maphash.String(idSeed, id))
}

// hasCarried reports whether a request with the ID was sent on the connection.
func (c *conn) hasCarried(id string) bool {
	return slices.Contains(c.sentIDs, maphash.String(idSeed, id))
}

// isFirstRequest reports whether the connection has carried no request before the present
// one.
func (c *conn) isFirstRequest() bool { return len(c.sentIDs) == 1 }

// isReusable reports whether the connection may carry another request.
func (c *conn) isReusable() bool { return !c.hadAnonymous && len(c.sentIDs) < maxConnRequests }

func (c *conn) close() { _ = c.tcp.Close() }

// write writes a message, whose body is in one or several parts, with vectored writes
// and returns how many bytes the socket accepted.
func (c *conn) write(header, body []byte, rest [][]byte) (int64, error) {
	c.segments = [2][]byte{header, body}
	c.unwritten = c.segments[:]
	if len(rest) > 0 {
		c.unwritten = append(c.unwritten, rest...)
	}
	written, err := c.unwritten.WriteTo(c.tcp)
	c.segments = [2][]byte{}
	return written, err
}
