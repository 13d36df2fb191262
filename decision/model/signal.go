package model

// HealthSignal is the evidence of one attempt about the health of its server.
// The zero value is no evidence.
type HealthSignal uint8

const (
	SignalNone        HealthSignal = iota
	SignalSuccess                  // valid response without an error
	SignalError                    // error response
	SignalBroken                   // connection broken, or invalid response
	SignalTimeout                  // no response within the time that other servers need
	SignalUnreachable              // connection failed; perhaps only the network path from this host
)

// IsShared reports whether the evidence is valid for other hosts too.
func (s HealthSignal) IsShared() bool {
	return s == SignalSuccess || s == SignalError || s == SignalBroken || s == SignalTimeout
}
