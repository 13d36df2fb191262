package decision

import (
	"math/rand/v2"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/schedule"
)

// State is everything that an entry host knows. Only Reduce changes it. Make
// it with NewState.
type State struct {
	self   model.HostRef
	domain model.DomainID
	now    model.Instant
	wall   model.WallTime
	rand   *rand.Rand

	timers   *schedule.Schedule[timerKey]
	timerSet model.Instant // time of the last SetTimer effect
	effects  []effect.Effect

	snapshot *configuration.Snapshot // nil until a configuration is in force
	requests map[model.RequestID]*request
	refusals map[refusalKey]uint64
	ready    bool
	// startedAt is when the process started.
	startedAt model.Instant
	stopping  bool
	drained   bool // the callers' port is closed

	config  configState
	limits  limitState
	claims  claimState
	servers serverState
	// directory is the platform's list of hosts and servers.
	directory directoryState
}

// NewState returns the state of a process that has not started.
func NewState() *State {
	return &State{
		timers:   schedule.New[timerKey](),
		timerSet: model.Never,
		requests: make(map[model.RequestID]*request),
		refusals: make(map[refusalKey]uint64),
		config:   newConfigState(),
		limits:   newLimitState(),
		claims:   newClaimState(),
		servers:  newServerState(),

		directory: newDirectoryState(),
	}
}

type refusalKey struct {
	account model.AccountID
	reason  model.Reason
}

// timerKind names what a deadline is for. Each concern owns the kinds that
// carry its name.
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

// timerKey names one deadline. The meaning of id belongs to the kind.
type timerKey struct {
	kind timerKind
	id   uint64
}

func (s *State) emit(e effect.Effect) { s.effects = append(s.effects, e) }

func (s *State) send(to model.HostID, m message.Message) {
	s.emit(effect.Send{To: to, Message: m})
}

func (s *State) notice(kind effect.NoticeKind, detail string) {
	s.emit(effect.Notice{Kind: kind, Detail: detail})
}
