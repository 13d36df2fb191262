package decision

import (
	"math/rand/v2"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Reduce applies one event to the state and returns the effects to carry out,
// in order. The slice is valid until the next call. The times of events must
// not decrease.
func Reduce(s *State, e event.Event) []effect.Effect {
	s.notePause(e.At)
	s.now = max(s.now, e.At)
	s.wall = e.Wall
	clear(s.effects)
	s.effects = s.effects[:0]
	s.dispatch(e.Body)
	s.fireDue()
	s.armTimer()
	return s.effects
}

func (s *State) dispatch(body event.Body) {
	switch b := body.(type) {
	case event.Started:
		s.onStarted(b)
	case event.RequestArrived:
		s.onRequestArrived(b)
	case event.MemoryNeeded:
		s.onMemoryNeeded(b)
	case event.MemoryReleased:
		s.onMemoryReleased(b)
	case event.AttemptEnded:
		s.onAttemptEnded(b)
	case event.CallerLeft:
		s.onCallerLeft(b)
	case event.ResponseSent:
		s.onResponseSent(b)
	case event.TimerFired:
		s.armedDeadline = model.Never
	case event.MessageReceived:
		s.onMessageReceived(b.From, b.Message)
	case event.HostListRead:
		s.servers.hostSets.Confirm(s.now)
		s.applyHostList(b.Entries)
	case event.HostListSynced:
		s.onHostListSynced(b)
	case event.SlotRead:
		s.onSlotRead(b)
	case event.SlotSwapped:
		s.onSlotSwapped(b)
	case event.RootRead:
		s.onRootRead(b)
	case event.ShardsRead:
		s.onShardsRead(b)
	case event.StopRequested:
		s.onStopRequested(b)
	case event.TrafficClosed:
		s.onTrafficClosed()
	case event.StatusRequested:
		s.emit(effect.ReportStatus{Query: b.Query, Status: s.status()})
	}
}

func (s *State) onStarted(e event.Started) {
	s.self = e.Self
	s.domain = e.Domain
	s.startedAt = s.now
	s.rand = rand.New(rand.NewPCG(e.Seed, e.Self.Incarnation))
	s.startConfig()
	s.startLimits()
	s.startClaims()
	s.startServers()
	s.startDirectory()
	s.startMemory(e.MemoryBytes)
}

func (s *State) onMessageReceived(from model.HostRef, m message.Message) {
	switch m := m.(type) {
	case message.Heartbeat:
		s.onHeartbeat(from, m)
	case message.TokenAsk:
		s.onTokenAsk(from, m)
	case message.TokenGrant:
		s.onTokenGrant(from, m)
	case message.Claim:
		s.onClaim(from, m)
	case message.ClaimAnswer:
		s.onClaimAnswer(from, m)
	case message.ClaimEnd:
		s.onClaimEnd(from, m)
	case message.ClaimEndAck:
		s.onClaimEndAck(from, m)
	case message.Evidence:
		s.onEvidence(from, m)
	case message.EjectionSet:
		s.onEjectionSet(from, m)
	case message.Sign:
		s.onSign(m)
	case message.UnservedReport:
		s.onUnservedReport(m)
	case message.HealthBatches:
		s.onHealthBatches(from, m)
	case message.EvacuationNotice:
		s.onEvacuationNotice(m)
	case message.ListAsk:
		s.onListAsk(from, m)
	case message.ListAnswer:
		s.onListAnswer(from, m)
	case message.ConfigOffer:
		s.onConfigOffer(from, m)
	case message.ShardAsk:
		s.onShardAsk(from, m)
	case message.Shards:
		s.onShards(from, m)
	default:
		s.onSlotMessage(from, m)
	}
}

// applyHostList distributes a complete list of hosts and backend servers, with
// the unlisted hosts, to the concerns that use it.
func (s *State) applyHostList(listed []model.HostEntry) {
	entries := s.withUnlistedHosts(listed)
	s.emit(effect.SetHosts{Entries: entries})
	s.setConfigPeers(entries)
	s.setMemberHosts(entries)
	s.setServerList(entries)
}

// fireDue handles every deadline that has passed.
func (s *State) fireDue() {
	for {
		key, ok := s.timers.Pop(s.now)
		if !ok {
			return
		}
		s.fire(key)
	}
}

func (s *State) fire(key timerKey) {
	switch key.kind {
	case timerRequest:
		s.onRequestDeadline(model.RequestID(key.id))
	case timerConfig:
		s.onConfigTimer(key.id)
	case timerLimits:
		s.onLimitsTimer(key.id)
	case timerClaims:
		s.onClaimsTimer(key.id)
	case timerDirectory:
		s.onDirectoryTimer()
	case timerServers:
		s.onServersTimer(key.id)
	case timerStop:
		s.onStopTimer(key.id)
	}
}

// armTimer requests the host's single timer when the earliest deadline has
// changed.
func (s *State) armTimer() {
	next := s.timers.Next()
	if next == s.armedDeadline || next == model.Never {
		return
	}
	s.armedDeadline = next
	s.emit(effect.SetTimer{At: next})
}
