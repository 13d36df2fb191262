package memory

import (
	"cmp"
	"slices"

	"pollensail.dev/decision/model"
)

// SmallBody is the size in bytes up to which a body may use the whole bound, so that
// small work continues while large work is refused.
const SmallBody = 64 << 10

// Shares of the memory of the process.
const (
	// boundDivisor: half of the memory is for callers and servers. The other half is
	// for control, buffers of connections and memory that is not yet collected.
	boundDivisor = 2
	// smallDivisor: an eighth of the bound is for small bodies only. Seven eighths of
	// the bound of the smallest host, 184 MB, still hold a body of 64 MiB.
	smallDivisor = 8
)

// Budget holds what was granted to the bodies of requests. Create it with NewBudget.
type Budget struct {
	bound     int // 0: none
	held      int // by all bodies
	retained  int // by answers retained for replay
	responses int // by responses that are read whole, as last reported
	bodies    map[model.RequestID]*body
	waiting   []Ask // oldest request first
}

// body is what was granted to the body of one request.
type body struct {
	held      int
	isLarge   bool
	isArrived bool // the whole body was read; its request cannot yield any longer
	isRefused bool // the request was refused; its memory is not released yet
}

// Ask is the question of a request whose body needs more memory.
type Ask struct {
	Request   model.RequestID
	Bytes     int // in addition to what was granted
	Announced int // size of the whole body; negative if unknown
	Responses int // held by responses that are read whole
}

// Result says which questions are answered. Other ones wait until memory is
// released.
type Result struct {
	Granted []Ask
	Refused []model.RequestID
}

// NewBudget returns the budget of a process that may use memoryBytes in all. With 0,
// nothing is bounded.
func NewBudget(memoryBytes int) *Budget {
	return &Budget{bound: memoryBytes / boundDivisor, bodies: make(map[model.RequestID]*body)}
}

// IsBounded reports whether the budget has a bound.
func (b *Budget) IsBounded() bool { return b.bound > 0 }

// Held returns what all bodies hold, in bytes.
func (b *Budget) Held() int { return b.held }

// ResponseBytes returns what responses that are read whole may hold.
func (b *Budget) ResponseBytes() int { return max(0, b.bound-b.held-b.retained) }

// SetRetained sets what retained answers hold.
func (b *Budget) SetRetained(bytes int) { b.retained = bytes }

// Ask decides on a request that needs more memory for its body.
func (b *Budget) Ask(a Ask) Result {
	b.responses = a.Responses
	held, isKnown := b.bodies[a.Request]
	if !isKnown {
		held = &body{}
		b.bodies[a.Request] = held
	}
	if held.isRefused {
		return Result{} // the question and the refusal crossed
	}
	held.isLarge = max(held.held+a.Bytes, a.Announced) > SmallBody
	if b.IsBounded() && !isKnown && held.isLarge && a.Announced > b.free(held) {
		held.isRefused = true
		return Result{Refused: []model.RequestID{a.Request}}
	}
	at, _ := slices.BinarySearchFunc(b.waiting, a, func(x, y Ask) int { return cmp.Compare(x.Request, y.Request) })
	b.waiting = slices.Insert(b.waiting, at, a)
	return b.answerWaiting()
}

// Arrived records that the whole body was read. It returns false if the request was
// refused.
func (b *Budget) Arrived(id model.RequestID) bool {
	held, ok := b.bodies[id]
	if !ok {
		return true
	}
	held.isArrived = !held.isRefused
	return held.isArrived
}

// Release records that the body of a request is no longer needed. responses is what
// responses that are read whole hold now.
func (b *Budget) Release(id model.RequestID, responses int) Result {
	b.responses = responses
	if held, ok := b.bodies[id]; ok {
		b.held -= held.held
		delete(b.bodies, id)
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(a Ask) bool { return a.Request == id })
	return b.answerWaiting()
}

// answerWaiting answers the waiting questions that can be answered, oldest request first.
func (b *Budget) answerWaiting() Result {
	var result Result
	waiting := b.waiting
	b.waiting = nil
	for _, a := range waiting {
		held := b.bodies[a.Request]
		switch {
		case held.isRefused: // it yielded to an older one
		case !b.IsBounded() || a.Bytes <= b.free(held):
			held.held += a.Bytes
			b.held += a.Bytes
			result.Granted = append(result.Granted, a)
		case held.isLarge && b.makeRoom(a, held, &result):
			b.waiting = append(b.waiting, a)
		default:
			held.isRefused = true
			result.Refused = append(result.Refused, a.Request)
		}
	}
	return result
}

// free returns how much more a body may get now. It may be negative.
func (b *Budget) free(held *body) int {
	bound := b.bound
	if held.isLarge {
		bound -= b.bound / smallDivisor
	}
	return bound - b.held - b.retained - b.responses
}

// makeRoom refuses the youngest large requests that are still being received, until
// the question can be answered once they have released their memory. It reports false,
// and refuses none, if that is not enough.
func (b *Budget) makeRoom(a Ask, held *body, result *Result) bool {
	missing := a.Bytes - b.free(held)
	var younger []model.RequestID
	for id, other := range b.bodies {
		switch {
		case other.isRefused:
			missing -= other.held
		case id > a.Request && other.isLarge && !other.isArrived:
			younger = append(younger, id)
		}
	}
	slices.Sort(younger)
	yielding := len(younger)
	for ; missing > 0; yielding-- {
		if yielding == 0 {
			return false
		}
		missing -= b.bodies[younger[yielding-1]].held
	}
	for _, id := range younger[yielding:] {
		b.bodies[id].isRefused = true
		result.Refused = append(result.Refused, id)
	}
	return true
}
