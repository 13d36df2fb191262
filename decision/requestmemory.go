package decision

import (
	"time"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/memory"
	"pollensail.dev/decision/model"
)

// How long callers whose requests are refused for lack of memory are asked to wait:
// memoryRetryAfter to twice as much, spread so that they do not return together. How
// long bodies are held depends on callers and servers, so there is no better estimate.
const memoryRetryAfter = time.Second

// memoryState is what this host holds for callers and servers.
type memoryState struct {
	budget *memory.Budget
	isFull bool // set at the first refusal, cleared once bodies hold no more than what is free
}

func (s *State) startMemory(bytes int) {
	s.memory.budget = memory.NewBudget(bytes)
	s.reportMemory()
}

func (s *State) onMemoryNeeded(e event.MemoryNeeded) {
	s.memory.budget.SetRetained(s.claims.records.Bytes())
	s.answerMemory(s.memory.budget.Ask(memory.Ask{
		Request:   e.Request,
		Bytes:     e.Bytes,
		Announced: e.Announced,
		Responses: e.ResponseBytes,
	}))
}

func (s *State) onMemoryReleased(e event.MemoryReleased) {
	s.memory.budget.SetRetained(s.claims.records.Bytes())
	s.answerMemory(s.memory.budget.Release(e.Request, e.ResponseBytes))
	if s.memory.isFull && s.memory.budget.Held() <= s.memory.budget.ResponseBytes() {
		s.memory.isFull = false
		s.emitNotice(effect.NoticeMemoryAvailable, "")
	}
}

// answerMemory emits the limit for responses before the grants that lower it, so that
// bodies and responses together stay within the bound.
func (s *State) answerMemory(result memory.Result) {
	s.reportMemory()
	for _, a := range result.Granted {
		s.emit(effect.GrantMemory{Request: a.Request, Bytes: a.Bytes})
	}
	for _, id := range result.Refused {
		s.refuseForMemory(id)
	}
}

func (s *State) reportMemory() {
	if s.memory.budget.IsBounded() {
		s.emit(effect.SetResponseMemory{Bytes: s.memory.budget.ResponseBytes(), BodyBytes: s.memory.budget.Held()})
	}
}

// refuseForMemory refuses a request whose body is being received.
func (s *State) refuseForMemory(id model.RequestID) {
	if !s.memory.isFull {
		s.memory.isFull = true
		s.emitNotice(effect.NoticeMemoryFull, "")
	}
	s.refusals[refusalKey{"", model.ReasonOverloaded}]++
	wait := memoryRetryAfter + time.Duration(s.rand.Int64N(int64(memoryRetryAfter)))
	s.emit(effect.Refuse{
		Request:    id,
		Reason:     model.ReasonOverloaded,
		Verdict:    model.NotRun,
		RetryAfter: model.Instant(wait),
		ForMemory:  true,
	})
}
