package wire

import (
	"bytes"
	"iter"
)

// hopByHop are the fields that belong to one connection and are not passed on
// (RFC 9110, section 7.6.1). The message's length is written anew for each
// connection.
var hopByHop = []string{
	"Connection", "Content-Length", "Expect", "Http2-Settings", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// EqualFold reports whether a field's name is name, in any case.
func EqualFold(field []byte, name string) bool {
	return len(field) == len(name) && bytes.EqualFold(field, []byte(name))
}

// IsHopByHop reports whether a field belongs to one connection.
func IsHopByHop(field []byte) bool {
	for _, name := range hopByHop {
		if EqualFold(field, name) {
			return true
		}
	}
	return false
}

// IsOwn reports whether a field is one of the fleet's own, which neither side
// may set for the other.
func IsOwn(field []byte) bool {
	return len(field) >= len(Prefix) && EqualFold(field[:len(Prefix)], Prefix)
}

// Connection is the set of fields that Connection fields name. The zero value
// is empty.
type Connection struct{ names [][]byte }

// Add adds the names of one Connection field. The value is kept, not copied.
func (c *Connection) Add(value []byte) {
	for len(value) > 0 {
		name, rest, _ := bytes.Cut(value, []byte{','})
		name = bytes.TrimSpace(name)
		if len(name) > 0 {
			c.names = append(c.names, name)
		}
		value = rest
	}
}

// Names reports whether the set has a field. Host and Content-Type are never
// in it, because a message would change its meaning without them.
func (c *Connection) Names(field []byte) bool {
	if EqualFold(field, "Host") || EqualFold(field, "Content-Type") {
		return false
	}
	for _, name := range c.names {
		if bytes.EqualFold(name, field) {
			return true
		}
	}
	return false
}

// ConnectionOf returns the fields that the Connection fields of a message
// name.
func ConnectionOf(fields iter.Seq2[[]byte, []byte]) Connection {
	var c Connection
	for name, value := range fields {
		if EqualFold(name, "Connection") {
			c.Add(value)
		}
	}
	return c
}

// IsEndToEnd reports whether a field is passed on between caller and server.
func (c *Connection) IsEndToEnd(d *Dialect, field []byte) bool {
	return !IsHopByHop(field) && !d.IsOwn(field) && !c.Names(field)
}
