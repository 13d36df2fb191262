package relay

import (
	"cmp"
	"time"
)

// Rule says what happens on the links that it matches. The zero value matches
// all and changes nothing.
type Rule struct {
	From string `json:"from"` // IP address of the connecting side; empty: any
	To   string `json:"to"`   // "ip:port" that is relayed to; empty: any

	// Cut refuses new connections and closes open ones.
	Cut bool `json:"cut"`
	// DropForward and DropBack discard the bytes of one direction without
	// closing. A connection that lost bytes is closed when the rule ends.
	DropForward bool `json:"drop_forward"`
	DropBack    bool `json:"drop_back"`
	// DelayMillis delays the bytes of both directions.
	DelayMillis int `json:"delay_ms"`
	// StallShare of the pieces, spread evenly, are delayed by StallMillis more,
	// with all that follow them.
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

// delay returns how long a piece is held up. sum carries the share from piece
// to piece.
func (r Rule) delay(sum *float64) time.Duration {
	d := time.Duration(r.DelayMillis) * time.Millisecond
	*sum += r.StallShare
	if *sum >= 1 {
		*sum--
		d += time.Duration(r.StallMillis) * time.Millisecond
	}
	return d
}

// direction is a way through the relay. The zero value is from the connecting
// side to the one relayed to.
type direction int

const (
	forward direction = iota
	back
)
