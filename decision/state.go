package decision

import (
	"math/rand/v2"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/memory"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/schedule"
)

// State is the whole state of an entry host. Only Reduce changes it. Create it
// with NewState.
type State struct {
	self   model.HostRef
	domain model.DomainID
	now    model.Instant
	wall   model.WallTime
	rand   *rand.Rand

	timers        *schedule.Schedule[timerKey]
	armedDeadline model.Instant // instant of the last SetTimer effect; Never: none pending
	effects       []effect.Effect

	snapshot *configuration.Snapshot // the active configuration; nil until there is one
	requests map[model.RequestID]*request
	refusals map[refusalKey]uint64
	ready    bool
	// startedAt is when the process started.
	startedAt     model.Instant
	stopping      bool
	stopRecorded  bool              // stopSummary was passed to the log
	stopSummary   model.StopSummary // of the planned stop
	arrivalsUntil model.Instant     // when a planned stop begins to refuse requests; model.Never before
	trafficClosed bool              // the listener for callers is closed
	attemptsEnded bool              // no further attempt may start; see endWaiting

	config  configState
	limits  limitState
	claims  claimState
	servers serverState
	// directory is the platform's list of hosts and servers, and where this host
	// follows it.
	directory directoryState
	unlisted  unlistedHosts
	// evacuation holds the failure domains to whose servers nothing is sent.
	evacuation evacuationState
	memory     memoryState
}

// NewState returns the state of a process that has not started.
func NewState() *State {
	return &State{
		timers:        schedule.New[timerKey](),
		armedDeadline: model.Never,
		arrivalsUntil: model.Never,
		requests:      make(map[model.RequestID]*request),
		refusals:      make(map[refusalKey]uint64),
		config:        newConfigState(),
		limits:        newLimitState(),
		claims:        newClaimState(),
		servers:       newServerState(),

		directory:  newDirectoryState(),
		evacuation: newEvacuationState(),
		memory:     memoryState{budget: memory.NewBudget(0)},
	}
}

type refusalKey struct {
	account model.AccountID
	reason  model.Reason
}

// timerKind is the concern that a deadline belongs to.
type timerKind uint8

const (
	timerRequest timerKind = iota // id: the RequestID
	timerConfig
	timerLimits
	timerClaims
	timerServers
	timerDirectory
	timerStop
)

// timerKey identifies one deadline. The kind defines the meaning of id.
type timerKey struct {
	kind timerKind
	id   uint64
}

func (s *State) emit(e effect.Effect) { s.effects = append(s.effects, e) }

func (s *State) send(to model.HostID, m message.Message) {
	s.emit(effect.Send{To: to, Message: m})
}

func (s *State) emitNotice(kind effect.NoticeKind, detail string) {
	s.emit(effect.Notice{Kind: kind, Detail: detail})
}
