package slot

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

var (
	testSlot = model.SlotID{Domain: "d0"}
	self     = model.HostRef{ID: "h0", Incarnation: 1}
	peer     = model.HostRef{ID: "h1", Incarnation: 1}
	third    = model.HostRef{ID: "h2", Incarnation: 1}
)

func at(ms int) model.Instant { return model.Instant(ms) * model.Instant(time.Millisecond) }

// fleetOf returns a fleet of three with evidence of a majority until the given
// instant.
func fleetOf(until model.Instant) Fleet {
	f := Fleet{MajorityUntil: until}
	for _, ref := range []model.HostRef{self, peer, third} {
		f.Members = append(f.Members, Member{Ref: ref, Domain: "d0", PresumedAlive: true, Alive: true, Staying: true})
	}
	f.Members[1].Domain, f.Members[2].Domain = "d1", "d1"
	return f
}

func newState() *State {
	s := New(self, at(-10))
	s.SetSlots(at(-10), []model.SlotID{testSlot})
	return s
}

// tick calls Tick and returns the results.
func (s *State) tick(ms int) []Result {
	s.Tick(at(ms), fleetOf(at(ms)), func(*message.HandoverOffer) {})
	return s.DrainResults()
}

// newOwner returns a state that has owned the slot since 0, by a swap sent
// then.
func newOwner(c *qt.C) *State {
	s := newState()
	swap := s.claimFirst(c)
	s.OnSwapped(0, 0, event.SlotSwapped{Slot: testSlot, Record: swap.Record, Version: 1})
	c.Assert(s.DrainResults(), qt.HasLen, 1)
	return s
}

// claimFirst claims a slot that never had an owner and returns the swap, which is sent
// at 0, when a peer acknowledges the intent.
func (s *State) claimFirst(c *qt.C) Swap {
	c.Assert(s.tick(-10), qt.DeepEquals, []Result{Read{testSlot}})
	s.OnRead(at(-10), 0, fleetOf(0), event.SlotRead{Slot: testSlot})
	intents := s.DrainResults()
	c.Assert(intents, qt.HasLen, 2)
	intent := intents[0].(Send).Message.(message.ClaimIntent)
	s.OnMessage(0, 0, fleetOf(0), peer, message.ClaimIntentAck{Intent: intent.Intent, Slot: testSlot})
	swaps := s.DrainResults()
	c.Assert(swaps, qt.HasLen, 1)
	return swaps[0].(Swap)
}

// TestOwnerPastLease guards against an owner that acts though another host may
// have claimed its slot, and against one that stops in a store outage. The
// lease of 4 s counts from 0.
func TestOwnerPastLease(t *testing.T) {
	intent := func(s *State, ms int) {
		s.OnMessage(at(ms), 0, Fleet{}, peer, message.ClaimIntent{Slot: testSlot})
		s.DrainResults() // the acknowledgement
	}
	tests := []struct {
		name string
		do   func(*State)
		at   int
		want bool
	}{
		{"within the lease", func(*State) {}, 3499, true},
		{"guard before its end", func(*State) {}, 3500, false},
		{"past it, most hosts heard", func(s *State) { s.UpdateMajority(at(3900), at(7500)) }, 6999, true},
		{"past the evidence", func(s *State) { s.UpdateMajority(at(3900), at(7500)) }, 7000, false},
		{"past it, with an intent", func(s *State) {
			s.UpdateMajority(at(3900), at(7500))
			intent(s, 5000)
		}, 5000, false},
		{"with an intent heard of from another host", func(s *State) {
			s.UpdateMajority(at(3900), at(7500))
			s.HandleHeartbeat(at(5000), message.Heartbeat{Intents: []message.IntentAge{{Slot: testSlot, Age: time.Second}}})
		}, 5000, false},
		{"within the lease, with an intent", func(s *State) { intent(s, 1000) }, 3000, true},
		{"evidence that came back after a gap", func(s *State) {
			s.UpdateMajority(at(3900), at(7500))
			s.UpdateMajority(at(7600), at(11_000))
		}, 7700, false},
		{"renewed after an intent", func(s *State) {
			intent(s, 1000)
			swap := s.tick(2000)[0].(Swap)
			s.OnSwapped(at(2010), 0, event.SlotSwapped{Slot: testSlot, Record: swap.Record, Version: 2})
			s.UpdateMajority(at(5900), at(10_000))
		}, 8500, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newOwner(c)
			test.do(s)
			_, ok := s.Owns(at(test.at), testSlot)
			c.Assert(ok, qt.Equals, test.want)
		})
	}
}

// TestRenewalIsReadBack guards against a lease that is lost, or counted from a
// wrong time, because the answer to a renewal did not arrive.
func TestRenewalIsReadBack(t *testing.T) {
	c := qt.New(t)
	s := newOwner(c)
	first := s.tick(2000)[0].(Swap)
	s.OnSwapped(at(3000), 0, event.SlotSwapped{Slot: testSlot, Record: first.Record, Error: event.StoreUnavailable})
	relayed := s.tick(3000)[0].(Send).Message.(message.RenewRelay)
	c.Assert(relayed.Record, qt.Equals, first.Record)
	again := s.tick(3500)[0].(Swap)
	c.Assert(again, qt.Equals, first)
	s.OnSwapped(at(3510), 0, event.SlotSwapped{Slot: testSlot, Record: first.Record, Error: event.StoreConflict})
	c.Assert(s.DrainResults(), qt.DeepEquals, []Result{Read{testSlot}})
	s.OnRead(at(3520), 0, Fleet{}, event.SlotRead{Slot: testSlot, Record: first.Record, Version: 2})
	c.Assert(s.Held()[0].Until, qt.Equals, at(6000))
}

// TestClaim guards against a claim that challenges the owner before its host has
// had time to answer a probe, one that does not wait for acknowledgements of more
// than half of the hosts and for the owner's lease, and one that goes on though
// the owner has renewed.
func TestClaim(t *testing.T) {
	lost := model.SlotRecord{Owner: model.HostRef{ID: "h9", Incarnation: 1}, Term: 3, Renewal: 8}
	renewed := lost
	renewed.Renewal++
	read := func(r model.SlotRecord, version uint64) event.SlotRead {
		return event.SlotRead{Slot: testSlot, Record: r, Version: version}
	}
	tests := []struct {
		name   string
		acks   int
		reread event.SlotRead
		want   []Result
	}{
		{"no acknowledgement", 0, event.SlotRead{}, nil},
		{"owner is alive", 1, read(renewed, 9), nil},
		{"owner is lost", 1, read(lost, 8), []Result{Swap{
			testSlot, 8, model.SlotRecord{Owner: self, Term: 4, Renewal: 9},
		}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newState()
			c.Assert(s.tick(4000), qt.DeepEquals, []Result{Read{testSlot}})
			s.OnRead(at(4000), 0, fleetOf(0), read(lost, 8))
			s.DrainResults()
			for _, r := range s.tick(4490) {
				c.Assert(r, qt.Equals, Result(ProbeHost{lost.Owner.ID}))
			}
			intents := slices.DeleteFunc(s.tick(4500), func(r Result) bool { return r == Result(ProbeHost{lost.Owner.ID}) })
			c.Assert(intents, qt.HasLen, 2)
			intent := intents[0].(Send).Message.(message.ClaimIntent)
			for range test.acks {
				s.OnMessage(at(4510), 0, fleetOf(0), peer, message.ClaimIntentAck{Intent: intent.Intent, Slot: testSlot})
			}
			s.tick(10_500)
			c.Assert(s.slots[testSlot].claim.phase < phaseReread, qt.IsTrue)
			s.tick(10_510)
			s.OnRead(at(10_520), 0, fleetOf(0), test.reread)
			s.DrainResults()
			var swaps []Result
			if v := s.slots[testSlot]; v.claim != nil && v.claim.phase == phaseSwap {
				swaps = append(swaps, Swap{testSlot, v.claim.version, v.claim.record})
			}
			c.Assert(swaps, qt.DeepEquals, test.want)
		})
	}
}

// TestRanking guards against one host that gets all slots of its failure
// domain, and against two hosts that claim the same slot.
func TestRanking(t *testing.T) {
	c := qt.New(t)
	f := Fleet{}
	for _, id := range []model.HostID{"a", "b", "c"} {
		f.Members = append(f.Members, Member{
			Ref: model.HostRef{ID: id, Incarnation: 1}, Domain: "d0", PresumedAlive: true, Alive: true, Staying: true,
		})
	}
	var slots []model.SlotID
	for i := range 6 {
		slots = append(slots, model.SlotID{Domain: "d0", Index: i})
	}
	taken := make(map[model.SlotID]model.HostID)
	for _, m := range f.Members {
		s := New(m.Ref, 0)
		s.SetSlots(0, slots)
		mine := s.plannedClaims(0, f)
		c.Assert(mine, qt.HasLen, 2)
		for _, v := range mine {
			c.Assert(taken[v.id], qt.Equals, model.HostID(""))
			taken[v.id] = m.Ref.ID
		}
	}
}

// TestClaimIsReadBack guards against treating a claim whose answer was lost as
// a success, or as a failure though it took effect.
func TestClaimIsReadBack(t *testing.T) {
	for _, tookEffect := range []bool{true, false} {
		c := qt.New(t)
		s := newState()
		swap := s.claimFirst(c)
		s.OnSwapped(at(1000), 0, event.SlotSwapped{
			Slot: testSlot, Record: swap.Record, Version: 1, Error: event.StoreUnavailable,
		})
		c.Assert(s.DrainResults(), qt.DeepEquals, []Result{Read{testSlot}})
		c.Assert(s.Held(), qt.HasLen, 0)
		if !tookEffect {
			s.OnRead(at(1010), 0, fleetOf(0), event.SlotRead{Slot: testSlot})
			c.Assert(s.DrainResults(), qt.DeepEquals, []Result{swap})
			continue
		}
		s.OnRead(at(1010), 0, fleetOf(0), event.SlotRead{Slot: testSlot, Record: swap.Record, Version: 1})
		c.Assert(s.Held(), qt.DeepEquals, []Status{{testSlot, 1, at(0).Add(LeaseDuration)}})
	}
}

// TestOwnerStartedAgain guards against a slot that has no owner for the whole
// wait though its owner's process has ended, as when all hosts are killed and
// start again. Evidence of another process from before the record was read
// proves nothing, because the owner may have started after it.
func TestOwnerStartedAgain(t *testing.T) {
	old := model.HostRef{ID: peer.ID, Incarnation: 7}
	read := event.SlotRead{Slot: testSlot, Record: model.SlotRecord{Owner: old, Term: 4, Renewal: 9}, Version: 3}
	for _, tc := range []struct {
		name    string
		heard   model.HostRef
		heardAt int
		want    bool
	}{
		{"another process lives", peer, 150, true},
		{"another process lived before", peer, 100, false},
		{"the owner lives", old, 150, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			s := newState()
			c.Assert(s.tick(0), qt.DeepEquals, []Result{Read{testSlot}})
			f := fleetOf(at(100))
			s.OnRead(at(100), 0, f, read)
			c.Assert(s.DrainResults(), qt.DeepEquals, []Result{ProbeHost{peer.ID}})
			f.Members[1].Ref, f.Members[1].LastAliveAt = tc.heard, at(tc.heardAt)
			s.Tick(at(250), f, func(*message.HandoverOffer) {})
			want := []Result(nil)
			if tc.want {
				record := model.SlotRecord{Owner: self, Term: 5, Renewal: 10}
				want = []Result{Swap{testSlot, 3, record}}
			}
			c.Assert(s.DrainResults(), qt.DeepEquals, want)
		})
	}
}

// TestOwnEarlierProcess guards against a host that waits for the lease of its
// own earlier process to end.
func TestOwnEarlierProcess(t *testing.T) {
	c := qt.New(t)
	s := newState()
	s.tick(0)
	old := model.HostRef{ID: self.ID, Incarnation: 99}
	s.OnRead(at(10), 0, fleetOf(0), event.SlotRead{Slot: testSlot, Record: model.SlotRecord{Owner: old, Term: 4, Renewal: 9}, Version: 3})
	record := model.SlotRecord{Owner: self, Term: 5, Renewal: 10}
	c.Assert(s.DrainResults(), qt.DeepEquals, []Result{Swap{testSlot, 3, record}})
}
