package model

// Verdict tells whether a request may have run at a backend server. The zero
// value is MayHaveRun, the only safe assumption where nothing is known.
type Verdict uint8

// The verdicts. Only NotRun allows a non-idempotent request to be sent again.
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

// Class is the kind of work a route carries. The zero value is Interactive.
type Class uint8

// The classes. Batch results have a deadline for delivery and are streamed.
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

// ParseClass is the inverse of Class.String. It reports false for an unknown
// name.
func ParseClass(name string) (Class, bool) {
	for _, c := range []Class{Interactive, Mutation, Batch} {
		if c.String() == name {
			return c, true
		}
	}
	return Interactive, false
}
