package backend

import (
	"math"
	"sync/atomic"
)

// uncountedBody is the size in bytes up to which the body of a response does not
// count against the memory for responses. It is about what the buffers of a connection
// take anyway.
const uncountedBody = 4 << 10

// responseMemory counts what the responses that are read whole hold. The reducer sets
// its limit.
type responseMemory struct {
	limit     atomic.Int64
	held      atomic.Int64
	bodyBytes atomic.Int64 // held by bodies of requests, for metrics
}

func (m *responseMemory) init() { m.limit.Store(math.MaxInt64) }

// take takes memory for a body. It reports false if the limit does not allow it.
func (m *responseMemory) take(bytes int) bool {
	if m.held.Add(int64(bytes)) <= m.limit.Load() {
		return true
	}
	m.give(bytes)
	return false
}

func (m *responseMemory) give(bytes int) { m.held.Add(-int64(bytes)) }

// SetResponseMemory carries out effect.SetResponseMemory.
func (t *Transport) SetResponseMemory(limit, bodyBytes int) {
	t.memory.limit.Store(int64(limit))
	t.memory.bodyBytes.Store(int64(bodyBytes))
}

// ResponseBytes returns the memory of responses that are read whole and not released.
func (t *Transport) ResponseBytes() int { return int(t.memory.held.Load()) }

// BodyBytes returns the memory granted to bodies of requests.
func (t *Transport) BodyBytes() int { return int(t.memory.bodyBytes.Load()) }

// reserve takes memory for a body of up to bytes bytes and reports whether it may be
// read whole. A response that may have to be retained is read whole in any case.
func (e *exchange) reserve(response *Response, bytes int) bool {
	if bytes <= uncountedBody {
		return true
	}
	return e.grow(response, bytes)
}

// grow raises the reservation of a body to bytes. It reports whether that much may be
// read whole.
func (e *exchange) grow(response *Response, bytes int) bool {
	memory := &e.transport.memory
	added := bytes - response.reserved
	if !memory.take(added) {
		if bytes > e.Forward.MaxRetainedBytes {
			return false
		}
		memory.held.Add(int64(added))
	}
	response.memory, response.reserved = memory, bytes
	return true
}

// trim gives back what a body has not used of its reservation.
func (r *Response) trim(used int) {
	if used < r.reserved {
		r.memory.give(r.reserved - used)
		r.reserved = used
	}
}
