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

// Batch responses are streamed and have a delivery deadline. Upload is a
// Mutation whose request bodies are large.
const (
	Interactive Class = iota
	Mutation
	Batch
	Upload
	// ClassCount is the number of classes.
	ClassCount = iota
)

// IsIdempotent reports whether requests of the class may run more than once,
// unless their route says otherwise.
func (c Class) IsIdempotent() bool { return c == Interactive || c == Batch }

// IsLarge reports whether requests of the class or their responses are costly
// to transfer between failure domains.
func (c Class) IsLarge() bool { return c == Batch || c == Upload }

// String returns the name used in the settings tree and in metrics.
func (c Class) String() string {
	switch c {
	case Mutation:
		return "mutation"
	case Batch:
		return "batch"
	case Upload:
		return "upload"
	default:
		return "interactive"
	}
}

// ParseClass is the inverse of Class.String. It returns false for an unknown
// name.
func ParseClass(name string) (Class, bool) {
	for c := range Class(ClassCount) {
		if c.String() == name {
			return c, true
		}
	}
	return Interactive, false
}
