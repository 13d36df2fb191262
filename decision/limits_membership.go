package decision

import (
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/membership"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/slot"
)

func (s *State) setMemberHosts(entries []model.HostEntry) {
	s.expireSlotAuthority()
	s.limits.members.SetHosts(s.now, entries)
	s.expireSlotAuthority()
}

// isIsolated reports whether the host can show neither that it is up to date
// nor that the store is down for all hosts.
func (s *State) isIsolated() bool {
	return s.limits.members.Authority(s.now).Authority == membership.Isolated
}

// recordStoreContact records that the store answered a call that was sent at
// the given instant, unless the call failed because the store was unavailable.
func (s *State) recordStoreContact(sentAt model.Instant, e event.StoreError) {
	if e != event.StoreUnavailable {
		s.limits.members.StoreReached(sentAt)
	}
}

func (s *State) tickHeartbeat() {
	if peer, m, ok := s.limits.members.ProbeNextPeer(s.now, s.rand); ok {
		s.send(peer, s.fillHeartbeat(m))
	}
	s.probeStore()
	s.reportAuthority()
	s.dropLostHosts()
}

func (s *State) fillHeartbeat(m message.Heartbeat) message.Heartbeat {
	m.Version, m.Confirmed, m.ConfigAge = s.advertisedConfirmation()
	s.addLeavingServers(&m)
	m.Stopping = s.stopping
	m.Evacuation = s.evacuation.set
	return m
}

func (s *State) onHeartbeat(from model.HostRef, m message.Heartbeat) {
	s.expireSlotAuthority()
	if askedAt, ok := s.limits.members.ProbeSentAt(s.now, m.Echo); ok && m.Confirmed {
		s.confirmFromPeer(m.Version, m.ConfigAge, askedAt)
	}
	s.limits.members.HandleHeartbeat(s.now, from, m)
	s.limits.slots.HandleHeartbeat(s.now, m)
	s.expireSlotAuthority()
	s.applySlotResults()
	s.onPeerLeavingServers(m)
	s.applyEvacuation(m.Evacuation)
	s.onPeerVersion(from, m.Version)
	if m.Echo != 0 || m.Sequence == 0 {
		return
	}
	s.answerHeartbeat(from, m)
	if ask, ok := s.limits.members.ProbeBack(s.now, m); ok {
		s.send(from.ID, s.fillHeartbeat(ask))
	}
}

func (s *State) answerHeartbeat(from model.HostRef, asked message.Heartbeat) {
	answer := s.limits.members.Answer(s.now, asked)
	answer.Slots, answer.Intents = s.limits.slots.Announce(s.now)
	s.send(from.ID, s.fillHeartbeat(answer))
}

// announceSlot tells every peer that this host has acquired a slot, because
// hosts that know no owner refuse requests.
func (s *State) announceSlot(id model.SlotID, term uint64) {
	m := s.fillHeartbeat(message.Heartbeat{StoreAge: -1})
	m.Slots = []message.SlotOwned{{Slot: id, Owner: s.self, Term: term}}
	for _, peer := range s.limits.members.Peers() {
		s.send(peer, m)
	}
}

// probeStore reads a slot when no store answer is known that is recent enough,
// to find out whether the store is down or just not in use. A host whose
// newest known answer is its own reads sooner: it may be the only one that
// reaches the store, and the others need time to learn of it. Where key
// revocation is bounded, the reads of the root for confirmations serve instead.
func (s *State) probeStore() {
	after := storeReadAfter
	contact := s.limits.members.LastStoreContact()
	if contact.Own {
		after = ownStoreReadAfter
	}
	isFresh := contact.Known && s.now < contact.At.Add(after)
	if s.snapshot == nil || s.snapshot.KeyRevocationDelay > 0 || isFresh || s.now < s.limits.storeReadAt.Add(ownStoreReadAfter) {
		return
	}
	s.limits.storeReadAt = s.now
	s.emit(effect.ReadSlot{Slot: model.SlotID{Domain: s.domain}})
}

// reportAuthority emits a notice when the authority changes, and updates
// readiness: an isolated host is not ready.
func (s *State) reportAuthority() {
	authority := s.limits.members.Authority(s.now).Authority
	if authority == s.limits.reportedAuthority {
		return
	}
	s.limits.reportedAuthority = authority
	s.servers.hostSets.SetFrozen(authority == membership.StoreOutage)
	s.emitNotice(effect.NoticeAuthority, authority.String())
	s.updateReadiness()
}

// slotFleet returns what slot ownership needs to know about all hosts.
func (s *State) slotFleet() slot.Fleet {
	members := s.limits.members.Members(s.now)
	f := slot.Fleet{Members: make([]slot.Member, 0, len(members))}
	for _, m := range members {
		f.Members = append(f.Members, slot.Member{
			Ref: m.Ref, Domain: m.Domain, PresumedAlive: m.PresumedAlive, Alive: m.Alive, LastAliveAt: m.LastAliveAt,
			Staying: m.Staying && !(m.Ref == s.self && s.stopping),
		})
	}
	return f
}
