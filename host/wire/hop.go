package wire

import (
	"bytes"
	"iter"
)

// hopByHop are the header fields that apply to one connection and are not
// forwarded (RFC 9110, section 7.6.1). Content-Length is among them, because it is
// set anew for each connection.
var hopByHop = []string{
	"Connection", "Content-Length", "Expect", "Http2-Settings", "Keep-Alive",
	"Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te",
	"Trailer", "Transfer-Encoding", "Upgrade",
}

// EqualFold reports whether a field name equals name under case folding.
func EqualFold(field []byte, name string) bool {
	return len(field) == len(name) && bytes.EqualFold(field, []byte(name))
}

// IsHopByHop reports whether a field applies to one connection only.
func IsHopByHop(field []byte) bool {
	for _, name := range hopByHop {
		if EqualFold(field, name) {
			return true
		}
	}
	return false
}

// IsReserved reports whether a field has the fleet's Prefix. Such a field is not
// forwarded between callers and servers.
func IsReserved(field []byte) bool {
	return len(field) >= len(Prefix) && EqualFold(field[:len(Prefix)], Prefix)
}

// ConnectionOptions is the set of field names that are listed in the Connection
// fields of a message. The zero value is empty.
type ConnectionOptions struct{ names [][]byte }

// Add adds the names listed in one Connection field. It retains value.
func (c *ConnectionOptions) Add(value []byte) {
	for len(value) > 0 {
		name, rest, _ := bytes.Cut(value, []byte{','})
		name = bytes.TrimSpace(name)
		if len(name) > 0 {
			c.names = append(c.names, name)
		}
		value = rest
	}
}

// Contains reports whether a field is in the set. It returns false for Host and
// Content-Type, because a message without them would have another meaning.
func (c *ConnectionOptions) Contains(field []byte) bool {
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

// ParseConnectionOptions returns the connection options of a message with the
// given header fields.
func ParseConnectionOptions(fields iter.Seq2[[]byte, []byte]) ConnectionOptions {
	var c ConnectionOptions
	for name, value := range fields {
		if EqualFold(name, "Connection") {
			c.Add(value)
		}
	}
	return c
}

// IsEndToEnd reports whether a field is forwarded between caller and server.
func (c *ConnectionOptions) IsEndToEnd(d *Dialect, field []byte) bool {
	return !IsHopByHop(field) && !d.IsReserved(field) && !c.Contains(field)
}
