package broadcast

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// messageInterval is the mean time between two messages of a host, which sends no
	// more than that however large the fleet is and however much fails: 59 a second.
	// While it has much to pass on, this sets how often it does, and so the delay.
	messageInterval = 17 * time.Millisecond
	// maxBurst is how far a host that was silent may exceed that: by the messages of
	// this time, some five rounds. The first signals of a failure then wait at no host.
	maxBurst = 300 * time.Millisecond
	// minRoundInterval is the shortest time between two rounds. Requests that fail
	// together, as with a connection or a server's process, go into one message.
	minRoundInterval = 10 * time.Millisecond
	// neighborCount is how many hosts of its own domain a host sends batches to. With
	// three, all hosts but one in a hundred are still reached while 20 % of them have stopped
	// unnoticed; the bytes of a signal are three times those of one copy for each host.
	neighborCount = 3
	// resendDelay is when a batch goes to the second relay of each domain at the
	// latest. It waits for the next batch until then, which saves the message. Load
	// reports, which are no reason for a message by themselves, wait as long for one.
	resendDelay = 300 * time.Millisecond
	// maxMessageBytes bounds the batches of a message, without the names of hosts,
	// which a link carries once each. 59 a second of this size take half of a link of
	// 10 Mbit/s.
	maxMessageBytes = 12 << 10
	// maxBatchAge is how long a batch waits to be passed on. Older evidence, as of a
	// host that was paused, does more harm than good: the server may have recovered.
	maxBatchAge = time.Second
	// maxEntries bounds the signals of a batch, and maxLoads its load reports, so that
	// it fits into a message.
	maxEntries = 128
	maxLoads   = 16
)

// Outgoing is a message to a host.
type Outgoing struct {
	To      model.HostID
	Message message.HealthBatches
}

// batches are the batches that this host collects and passes on.
type batches struct {
	own     message.HealthBatch // being collected; without origin and sequence number
	loadsAt model.Instant       // when the ages in own.Loads were right
	pending []pendingBatch      // to pass on in the own domain, oldest first
	// forSecondRelay are own batches that went to one relay of each domain, and go to the
	// other with the next message.
	forSecondRelay []pendingBatch
	repeatAt       model.Instant // when they do at the latest
	// useSecondRelay alternates between the relays of a domain.
	useSecondRelay bool
	hasRun         bool
	lastRound      model.Instant // valid with hasRun
	// rateCreditAt is when the messages sent so far will be in accord with
	// messageInterval.
	rateCreditAt model.Instant
	lastOwn      model.Instant // time of the last own batch; valid with hasOwn
	hasOwn       bool
}

// pendingBatch is a batch to pass on.
type pendingBatch struct {
	message.HealthBatch
	from model.HostID // the host that sent it here; empty for an own batch
	at   model.Instant
}

// AddSignal adds a health signal of this host to its next batch.
func (s *State) AddSignal(service model.ServiceID, server model.ServerID, signal model.HealthSignal, isUnserved bool) {
	entry := s.batches.entry(service, server)
	if isUnserved {
		entry.Unserved++
	}
	for i := range entry.Counts {
		if entry.Counts[i].Signal == signal {
			entry.Counts[i].Count++
			return
		}
	}
	entry.Counts = append(entry.Counts, model.SignalCount{Signal: signal, Count: 1})
}

// AddUnserved adds unserved requests that no signal tells of.
func (s *State) AddUnserved(service model.ServiceID, requests int) {
	s.batches.entry(service, "").Unserved += requests
}

// entry returns the entry of a server in the batch that is being collected.
func (b *batches) entry(service model.ServiceID, server model.ServerID) *message.ServerSignals {
	for i := range b.own.Signals {
		if e := &b.own.Signals[i]; e.Server == server && e.Service == service {
			return e
		}
	}
	if len(b.own.Signals) == maxEntries {
		b.own.Signals = b.own.Signals[1:]
	}
	b.own.Signals = append(b.own.Signals, message.ServerSignals{Service: service, Server: server})
	return &b.own.Signals[len(b.own.Signals)-1]
}

// AddLoad adds a load report to the next batch, in place of an earlier one of the
// same server. Beyond maxLoads the oldest report is dropped.
func (s *State) AddLoad(now model.Instant, load message.ServerLoad) {
	b := &s.batches
	for i := range b.own.Loads {
		b.own.Loads[i].Age += now.Sub(b.loadsAt)
	}
	b.loadsAt = now
	b.own.Loads = slices.DeleteFunc(b.own.Loads, func(l message.ServerLoad) bool { return l.Server == load.Server })
	b.own.Loads = slices.Insert(b.own.Loads, 0, load)
	slices.SortStableFunc(b.own.Loads, func(x, y message.ServerLoad) int { return cmp.Compare(x.Age, y.Age) })
	b.own.Loads = b.own.Loads[:min(len(b.own.Loads), maxLoads)]
}

// Receive records the batches of a message, and returns those that this host has not
// had yet. They are passed on in the next round.
func (s *State) Receive(now model.Instant, self, from model.HostID, m message.HealthBatches) []message.HealthBatch {
	var accepted []message.HealthBatch
	for _, b := range m.Batches {
		if b.Origin.ID == self || !s.Accept(b.Origin, b.Sequence) {
			continue
		}
		accepted = append(accepted, b)
		s.batches.pending = append(s.batches.pending, pendingBatch{b, from, now})
	}
	return accepted
}

// RoundDue returns when the next round is due, model.Never if there is nothing to
// send.
func (s *State) RoundDue() model.Instant {
	b := &s.batches
	due := model.Never
	switch {
	case len(b.pending) > 0 || len(b.own.Signals) > 0:
		due = 0
	case len(b.own.Loads) > 0 && !b.hasOwn:
		due = 0
	case len(b.own.Loads) > 0:
		due = b.lastOwn.Add(resendDelay)
	}
	if len(b.forSecondRelay) > 0 {
		due = min(due, b.repeatAt)
	}
	if due != model.Never && b.hasRun {
		due = max(due, b.lastRound.Add(minRoundInterval), b.rateCreditAt.Add(-maxBurst))
	}
	return due
}

// Round returns the messages of a round. isAlive tells which hosts are known to be
// alive.
func (s *State) Round(now model.Instant, self model.HostRef, rnd *rand.Rand, isAlive func(model.HostID) bool) []Outgoing {
	b := &s.batches
	b.lastRound, b.hasRun = now, true
	isOld := func(p pendingBatch) bool { return now.Sub(p.at) > maxBatchAge }
	b.pending = slices.DeleteFunc(b.pending, isOld)
	b.forSecondRelay = slices.DeleteFunc(b.forSecondRelay, isOld)
	var own []pendingBatch
	if len(b.own.Signals) > 0 || len(b.own.Loads) > 0 {
		own = []pendingBatch{{s.takeOwn(now, self), "", now}}
		b.pending = append(b.pending, own...)
	}
	out := s.sendToDomains(now, own, rnd, isAlive)
	out = append(out, s.sendToNeighbors(now, self.ID, isAlive)...)
	b.rateCreditAt = max(b.rateCreditAt, now).Add(time.Duration(len(out)) * messageInterval)
	return out
}

// takeOwn returns the batch that was collected, and begins the next one.
func (s *State) takeOwn(now model.Instant, self model.HostRef) message.HealthBatch {
	b := &s.batches
	own := b.own
	b.own = message.HealthBatch{}
	own.Origin, own.Sequence = self, s.NextSequence()
	for i := range own.Loads {
		own.Loads[i].Age += now.Sub(b.loadsAt)
	}
	b.lastOwn, b.hasOwn = now, true
	return own
}

// sendToDomains returns the messages to one relay of each other domain: this host's
// new batch, if any, and those that the other relay got before.
func (s *State) sendToDomains(now model.Instant, own []pendingBatch, rnd *rand.Rand, isAlive func(model.HostID) bool) []Outgoing {
	b := &s.batches
	isRepeatDue := len(b.forSecondRelay) > 0 && now >= b.repeatAt
	if len(own) == 0 && !isRepeatDue {
		return nil
	}
	chosen, rest := cutToSize(append(slices.Clone(b.forSecondRelay), own...))
	isOwn := func(p pendingBatch) bool { return len(own) > 0 && p.Sequence == own[0].Sequence }
	b.forSecondRelay, b.repeatAt = append(slices.DeleteFunc(rest, isOwn), own...), now.Add(resendDelay)
	b.useSecondRelay = !b.useSecondRelay
	s.Relays(now, rnd, isAlive)
	var out []Outgoing
	for _, relays := range s.domainRelays {
		i := 0
		if b.useSecondRelay {
			i = len(relays) - 1
		}
		out = append(out, Outgoing{relays[i], newMessage(now, chosen, relays[i])})
	}
	return out
}

// sendToNeighbors returns the messages to the neighbors with the pending batches, but
// for those that a neighbor has had. What exceeds a message stays pending.
func (s *State) sendToNeighbors(now model.Instant, self model.HostID, isAlive func(model.HostID) bool) []Outgoing {
	chosen, rest := cutToSize(s.batches.pending)
	s.batches.pending = rest
	var out []Outgoing
	for _, to := range s.Neighbors(self, isAlive) {
		if m := newMessage(now, chosen, to); len(m.Batches) > 0 {
			out = append(out, Outgoing{to, m})
		}
	}
	return out
}

// newMessage returns a message with the batches that a host has not sent here or made
// itself. Load reports age by the time that this host kept them.
func newMessage(now model.Instant, pending []pendingBatch, to model.HostID) message.HealthBatches {
	var m message.HealthBatches
	for _, p := range pending {
		if p.from == to || p.Origin.ID == to {
			continue
		}
		b := p.HealthBatch
		b.Loads = slices.Clone(b.Loads)
		for i := range b.Loads {
			b.Loads[i].Age += now.Sub(p.at)
		}
		m.Batches = append(m.Batches, b)
	}
	return m
}

// cutToSize returns the newest batches that fit in a message, one at least, newest
// first, and the others, oldest first.
func cutToSize(pending []pendingBatch) (chosen, rest []pendingBatch) {
	size := 0
	names := make(map[string]bool)
	for _, p := range slices.Backward(pending) {
		added, newNames := batchSize(p.HealthBatch, names)
		if size+added > maxMessageBytes && len(chosen) > 0 {
			rest = append(rest, p)
			continue
		}
		size += added
		for _, name := range newNames {
			names[name] = true
		}
		chosen = append(chosen, p)
	}
	slices.Reverse(rest)
	return chosen, rest
}

// Upper bounds of the encoded bytes of the parts of a message, without names.
const (
	batchBytes   = 12
	signalsBytes = 10 // of a ServerSignals
	countBytes   = 3  // of each of its counts
	loadBytes    = 22 // of a ServerLoad
)

// batchSize returns how many bytes a batch adds to a message, with the names of
// services and servers that are not in names yet, and these names.
func batchSize(b message.HealthBatch, names map[string]bool) (size int, newNames []string) {
	size = batchBytes
	add := func(name string) {
		if !names[name] && !slices.Contains(newNames, name) {
			newNames = append(newNames, name)
			size += len(name) + 2
		}
	}
	for _, e := range b.Signals {
		add(string(e.Service))
		add(string(e.Server))
		size += signalsBytes + countBytes*len(e.Counts)
	}
	for _, l := range b.Loads {
		add(string(l.Service))
		add(string(l.Server))
		size += loadBytes
	}
	return size, newNames
}
