package model

// Verdict is whether a backend server ran a request. The zero value is
// MayHaveRun, the only safe assumption when nothing is known.
type Verdict uint8

// Only after NotRun may a non-idempotent request be retried.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the value of the Pollensail-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Class is the workload class of a route. The zero value is Interactive.
type Class uint8

// Batch responses are streamed and have a delivery deadline.
const (
	Interactive Class = iota
	Mutation
	Batch
)

// String returns the name used in the settings tree and in metrics.
func (c Class) String() string {
	switch c {
	case Mutation:
		return "mutation"
	case Batch:
		return "batch"
	default:
		return "interactive"
	}
}

// ParseClass is the inverse of Class.String. It returns false for an unknown
// name.
func ParseClass(name string) (Class, bool) {
	for _, c := range []Class{Interactive, Mutation, Batch} {
		if c.String() == name {
			return c, true
		}
	}
	return Interactive, false
}
