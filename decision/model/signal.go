package model

// Sign is the evidence of one attempt about the health of its server. The zero
// value is no evidence.
type Sign uint8

const (
	SignNone        Sign = iota
	SignGood             // valid response without an error
	SignError            // error response
	SignBroken           // connection broken, or invalid response
	SignSilent           // no response within the time that other servers need
	SignUnreachable      // connection failed; perhaps only the network path from this host
)

// IsShared reports whether the evidence is valid for other hosts too.
func (s Sign) IsShared() bool {
	return s == SignGood || s == SignError || s == SignBroken || s == SignSilent
}
