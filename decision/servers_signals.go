package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// runSignalRound sends the batches of health signals that are due, or sets the timer
// to when they are.
func (s *State) runSignalRound() {
	due := s.servers.signalBroadcast.RoundDue()
	if due > s.now {
		s.setSignalTimer(due)
		return
	}
	for _, out := range s.servers.signalBroadcast.Round(s.now, s.self, s.rand, s.isHostAlive) {
		s.send(out.To, out.Message)
	}
	s.setSignalTimer(s.servers.signalBroadcast.RoundDue())
}

func (s *State) setSignalTimer(due model.Instant) {
	if due != model.Never {
		s.timers.Set(timerKey{timerServers, serversTimerSignals}, due)
	}
}

// isHostAlive reports whether another host is known to be alive.
func (s *State) isHostAlive(id model.HostID) bool { return s.limits.members.IsAlive(s.now, id) }

// onHealthBatches applies the batches that this host has not had yet, and passes them
// on.
func (s *State) onHealthBatches(from model.HostRef, m message.HealthBatches) {
	for _, batch := range s.servers.signalBroadcast.Receive(s.now, s.self.ID, from.ID, m) {
		for _, signals := range batch.Signals {
			s.applyServerSignals(signals)
		}
		for _, load := range batch.Loads {
			s.onServerLoad(load)
		}
	}
	s.runSignalRound()
}

// applyServerSignals counts the signals of another host.
func (s *State) applyServerSignals(signals message.ServerSignals) {
	pool := s.pool(signals.Service)
	switch {
	case pool == nil || signals.Unserved < 0:
	case signals.Server == "":
		pool.ObserveRemoteUnserved(s.now, signals.Unserved)
	default:
		pool.ObserveRemoteSignals(s.now, signals.Server, signals.Counts, signals.Unserved)
	}
}
