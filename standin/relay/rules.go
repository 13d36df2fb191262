package relay

import (
	"cmp"
	"time"
)

// Rule is a fault to inject into the connections that it matches. The zero value
// matches every connection and injects no fault.
type Rule struct {
	From string `json:"from"` // source IP address; empty matches any
	To   string `json:"to"`   // destination "ip:port"; empty matches any

	// Cut resets new connections and open ones.
	Cut bool `json:"cut"`
	// DropForward and DropBack discard the bytes from and to the source without
	// closing the connection. A connection that lost bytes is reset once the
	// rule no longer applies, because its stream has a gap.
	DropForward bool `json:"drop_forward"`
	DropBack    bool `json:"drop_back"`
	// DelayMillis delays the bytes of both directions.
	DelayMillis int `json:"delay_ms"`
	// StallShare is the share of chunks that are delayed by another StallMillis.
	// These chunks are evenly spaced, and each also holds up those behind it.
	StallShare  float64 `json:"stall_share"`
	StallMillis int     `json:"stall_ms"`
}

func (r Rule) matches(from, to string) bool {
	return cmp.Or(r.From, from) == from && cmp.Or(r.To, to) == to
}

func (r Rule) drops(d direction) bool {
	if d == forward {
		return r.DropForward
	}
	return r.DropBack
}

// delay returns the delay of the next chunk. stallDebt accumulates StallShare
// over the chunks of a stream; a chunk stalls each time it reaches 1.
func (r Rule) delay(stallDebt *float64) time.Duration {
	d := time.Duration(r.DelayMillis) * time.Millisecond
	*stallDebt += r.StallShare
	if *stallDebt >= 1 {
		*stallDebt--
		d += time.Duration(r.StallMillis) * time.Millisecond
	}
	return d
}

// direction is a direction of a connection: forward is from the source to the
// destination.
type direction int

const (
	forward direction = iota
	back
)
