package frontend

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/valyala/fasthttp"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/wire"
)

const (
	// firstPartBytes is the size of the first part of a body, for which no memory has
	// to be granted. It is about what the buffers of a connection take anyway.
	firstPartBytes = 16 << 10
	// partBytes is the size of the other parts.
	partBytes = 64 << 10
	// maxAskBytes bounds what a body asks for at once, and so how much memory is
	// granted to a sender that has fallen silent.
	maxAskBytes = 1 << 20
)

// errRefused is returned if the reducer refused the request while its body was read.
var errRefused = errors.New("refused")

// errLoopEnded is returned if the control loop ended while the body was read.
var errLoopEnded = errors.New("control loop ended")

// body is the body of a caller's request, read in parts. The parts are not changed once
// they are read. Those after the first count against the memory of the host, from
// the first event.MemoryNeeded until the last user has released the body.
type body struct {
	parts [][]byte
	size  int
	users atomic.Int32 // the exchange and the attempts that outlast it
	asked bool         // event.MemoryNeeded was posted
}

func (b *body) first() []byte {
	if len(b.parts) == 0 {
		return nil
	}
	return b.parts[0]
}

func (b *body) rest() [][]byte { return b.parts[min(1, len(b.parts)):] }

// releaseBody ends one use of a body. The last one reports its memory as released.
func (f *Frontend) releaseBody(id model.RequestID, b *body) {
	if b.users.Add(-1) == 0 && b.asked {
		f.loop.Post(event.MemoryReleased{Request: id, ResponseBytes: f.transport.ResponseBytes()})
	}
}

// tooLargeField marks the header of a request whose announced length is over the limit.
// No caller can send a field of this name.
const tooLargeField = ":too-large"

// checkAnnouncedLength makes fasthttp read no byte of a body whose announced length is
// over the limit. It waits for the first bytes of a body before it calls the handler, and
// a caller may send none before it has the response.
func (f *Frontend) checkAnnouncedLength(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if h.ContentLength() > f.options.MaxBodyBytes {
		h.SetContentLength(0)
		h.Set(tooLargeField, "1")
	}
	return fasthttp.RequestConfig{}
}

// readBody reads the body of the request into x.body. Memory is taken for what has
// arrived, whatever the announced length.
func (x *exchange) readBody() error {
	stream := x.ctx.Request.BodyStream()
	announced := x.ctx.Request.Header.ContentLength()
	limit := x.frontend.options.MaxBodyBytes
	if len(x.ctx.Request.Header.Peek(tooLargeField)) > 0 {
		return fasthttp.ErrBodyTooLarge
	}
	if stream == nil || announced == 0 {
		return nil
	}
	granted := firstPartBytes
	if announced >= 0 {
		granted = min(granted, announced)
	}
	for partSize := firstPartBytes; ; partSize = partBytes {
		if x.body.size == granted {
			ask := min(granted, maxAskBytes)
			if announced >= 0 {
				ask = min(ask, announced-x.body.size)
			}
			if err := x.askMemory(ask, announced); err != nil {
				return err
			}
			granted += ask
		}
		// One byte beyond the limit shows that the body is too large.
		part, err := readPart(stream, make([]byte, min(partSize, granted-x.body.size, limit+1-x.body.size)))
		x.body.size += len(part)
		if len(part) > 0 {
			x.body.parts = append(x.body.parts, part)
		}
		switch {
		case x.body.size > limit:
			return fasthttp.ErrBodyTooLarge
		case x.body.size == announced:
			return nil
		case err == io.EOF && announced < 0:
			return x.checkTrailers()
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// errTrailer is returned for a chunked body with a trailer field whose name is malformed.
var errTrailer = errors.New("malformed trailer field")

// checkTrailers checks the names of the trailer fields, which are not forwarded. The
// library accepts names with blanks.
func (x *exchange) checkTrailers() error {
	for _, name := range x.ctx.Request.Header.PeekTrailerKeys() {
		if !wire.IsToken(name) {
			return errTrailer
		}
	}
	return nil
}

// readPart reads until the part is full, the body ends or an error occurs. It returns
// what was read.
func readPart(stream io.Reader, part []byte) ([]byte, error) {
	n := 0
	for n < len(part) {
		m, err := stream.Read(part[n:])
		n += m
		if err != nil {
			return part[:n], err
		}
	}
	return part, nil
}

// askMemory asks for memory for that much more of the body, and waits for it.
func (x *exchange) askMemory(bytes, announced int) error {
	if !x.frontend.options.BoundsMemory {
		return nil
	}
	if !x.body.asked {
		x.body.asked = true
		x.frontend.register(x)
	}
	posted := x.frontend.loop.Post(event.MemoryNeeded{
		Request:       x.id,
		Bytes:         bytes,
		Announced:     announced,
		ResponseBytes: x.frontend.transport.ResponseBytes(),
	})
	if !posted {
		return errLoopEnded
	}
	e, ok := x.nextEffect()
	if !ok {
		return errLoopEnded
	}
	switch e := e.(type) {
	case effect.GrantMemory:
		return nil
	case effect.Refuse:
		x.refusal = e
		return errRefused
	default:
		return errLoopEnded // no other effect belongs to a request that has not arrived
	}
}

// interruptBody ends a pending read of the body, because its request was refused. It
// requires frontend.mu.
func (x *exchange) interruptBody() {
	if x.isReceiving {
		// It fails only on a closed connection, which ends the read by itself.
		_ = x.ctx.Conn().SetReadDeadline(pastDeadline)
	}
}

func (x *exchange) setReceiving(isReceiving bool) {
	x.frontend.mu.Lock()
	defer x.frontend.mu.Unlock()
	x.isReceiving = isReceiving
}

// receiveBody reads the body and responds if that fails. It reports whether the body
// was read.
func (x *exchange) receiveBody() bool {
	x.setReceiving(true)
	err := x.readBody()
	x.setReceiving(false)
	if e, ok := x.effects.pop(); ok { // of a refusal, which may have interrupted the read
		if refusal, ok := e.(effect.Refuse); ok {
			x.refusal, err = refusal, errRefused
		}
	}
	switch {
	case err == nil:
		return true
	case errors.Is(err, errRefused):
		x.ctx.SetConnectionClose()
		if caller, ok := x.ctx.Conn().(*callerConn); ok {
			// The caller is likely to send on until it has the response. A reset
			// after maxLingerBytes cost some callers their response.
			caller.unreadBody = int64(x.frontend.options.MaxBodyBytes)
		}
		x.refuse(x.refusal)
	case errors.Is(err, errLoopEnded):
		x.ctx.SetConnectionClose()
		x.refuseStopping()
	default:
		x.frontend.unregister(x)
		x.refuseInvalid(classifyReadError(err))
	}
	return false
}

// releaseBody ends the exchange's use of its body.
func (x *exchange) releaseBody() {
	x.frontend.releaseBody(x.id, x.body)
	x.body = nil
}

// foundInBody reports whether a body contains the key, plain or percent-encoded.
func (k keyFinder) foundInBody(parts [][]byte) bool {
	if len(k.key) == 0 {
		return false
	}
	if len(parts) == 1 {
		return k.foundIn(parts[0])
	}
	// An occurrence may span parts. Percent-encoded, it is up to three times as long.
	overlap := 3 * len(k.key)
	var window []byte
	for _, part := range parts {
		window = append(window[:copy(window, window[max(0, len(window)-overlap):])], part...)
		if k.foundIn(window) {
			return true
		}
	}
	return false
}
