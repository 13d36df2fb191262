package model

// HealthSignal is the evidence of one attempt about the health of its server.
// The zero value is no evidence.
type HealthSignal uint8

const (
	SignalNone        HealthSignal = iota
	SignalSuccess                  // valid response without an error
	SignalError                    // error response
	SignalBroken                   // connection broken, or invalid response
	SignalLate                     // no response within the time that nearly all need
	SignalUnreachable              // connection failed; perhaps only the network path from this host
	SignalLateSuccess              // valid response without an error, after SignalLate
)

// IsSuccess reports whether the attempt was answered without an error.
func (s HealthSignal) IsSuccess() bool { return s == SignalSuccess || s == SignalLateSuccess }

// IsShared reports whether the evidence is valid for other hosts too.
func (s HealthSignal) IsShared() bool {
	return s.IsSuccess() || s == SignalError || s == SignalBroken || s == SignalLate
}
