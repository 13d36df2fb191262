package model

// Sign is what one attempt says about whether its server fails. The zero value
// says nothing.
type Sign uint8

// The signs.
const (
	SignNone        Sign = iota
	SignGood             // answered
	SignError            // answered that it failed
	SignBroken           // the connection broke, or the answer was not valid
	SignSilent           // no answer in the time that others need
	SignUnreachable      // no connection; it may be the path of this host only
)

// IsShared reports whether the sign holds for other hosts too.
func (s Sign) IsShared() bool {
	return s == SignGood || s == SignError || s == SignBroken || s == SignSilent
}
