package slot

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// TestClaimAfterRestore guards against a host that begins as the owner because the store
// has lost a record, and against a term that is given out twice. The claimant has to
// collect acknowledgements and to wait, whatever the record of before says.
func TestClaimAfterRestore(t *testing.T) {
	record := func(owner model.HostRef) event.SlotRead {
		return event.SlotRead{Slot: testSlot, Record: model.SlotRecord{Owner: owner, Term: 4, Renewal: 9}, Version: 3}
	}
	earlierSelf := model.HostRef{ID: self.ID, Incarnation: 99}
	tests := []struct {
		name     string
		read     event.SlotRead
		restores uint64 // known to the store's client
		ackTerm  uint64
		heard    model.HostRef // process that runs on the owner's host
		wantTerm uint64
	}{
		{"no record", event.SlotRead{Slot: testSlot}, 1, 0, model.HostRef{}, termsPerRestore},
		{"no record, second restore", event.SlotRead{Slot: testSlot}, 2, 1 << 16, model.HostRef{}, 2 * termsPerRestore},
		{"no record, a host knows of an owner", event.SlotRead{Slot: testSlot}, 0, 7, model.HostRef{}, 8},
		{"an earlier process of the host", record(earlierSelf), 1, 0, model.HostRef{}, termsPerRestore},
		{"an owner whose process has ended", record(model.HostRef{ID: peer.ID, Incarnation: 7}), 1, 0, peer, termsPerRestore},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newState()
			test.read.Restores = test.restores
			c.Assert(s.tick(0), qt.DeepEquals, []Result{Read{testSlot}})
			f := fleetOf(0)
			s.OnRead(at(10), 0, f, test.read)
			if !test.heard.IsZero() {
				f.Members[1].Ref, f.Members[1].LastAliveAt = test.heard, at(20)
			}
			var swaps []Swap
			swappedAt := 0
			for ms := 20; ms < 12_000 && len(swaps) == 0; ms += 10 {
				s.Tick(at(ms), f, func(*message.HandoverOffer) {})
				for _, r := range s.DrainResults() {
					switch r := r.(type) {
					case Send:
						if intent, ok := r.Message.(message.ClaimIntent); ok {
							ack := message.ClaimIntentAck{Intent: intent.Intent, Slot: testSlot, Term: test.ackTerm, Restores: test.restores}
							s.OnMessage(at(ms+1), 0, f, peer, ack)
						}
					case Read:
						s.OnRead(at(ms+2), 0, f, test.read)
					case Swap:
						swaps = append(swaps, r)
						swappedAt = ms
					}
				}
			}
			c.Assert(swaps, qt.HasLen, 1)
			c.Check(at(swappedAt) >= at(0).Add(LeaseDuration+ClaimGrace), qt.IsTrue)
			c.Check(swaps[0].Record.Term, qt.Equals, test.wantTerm)
			c.Check(swaps[0].Record.Restores, qt.Equals, test.restores)
			c.Check(swaps[0].Record.Continuous, qt.IsFalse)
		})
	}
}

// TestOwnerAfterRestore guards against an owner that cannot renew any more because its
// record is missing or older, and against one that takes up service again though another
// host may have followed it.
func TestOwnerAfterRestore(t *testing.T) {
	const restoredVersion = 1 << 44
	older := model.SlotRecord{Owner: peer, Term: 0, Renewal: 1}
	tests := []struct {
		name   string
		found  event.SlotRead
		at     int
		writes bool
		loses  bool
	}{
		{"no record", event.SlotRead{}, 2000, true, false},
		{"the record of an earlier owner", event.SlotRead{Record: older, Version: restoredVersion + 1}, 2000, true, false},
		{"an earlier renewal", event.SlotRead{Record: model.SlotRecord{Owner: self, Term: 1, Renewal: 1, Continuous: true}, Version: restoredVersion + 1}, 2000, true, false},
		{"another owner", event.SlotRead{Record: model.SlotRecord{Owner: peer, Term: termsPerRestore, Renewal: 1, Restores: 1}, Version: restoredVersion + 1}, 2000, false, true},
		{"just after the authority", event.SlotRead{}, 5000, true, false},
		{"long after the authority", event.SlotRead{}, 5600, false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newOwner(c)
			s.UpdateMajority(at(test.at), 0)
			s.DrainResults()
			test.found.Slot, test.found.Restores = testSlot, 1
			s.OnRead(at(test.at), 0, fleetOf(0), test.found)
			var swaps []Swap
			isLost := false
			for _, r := range s.DrainResults() {
				switch r := r.(type) {
				case Swap:
					swaps = append(swaps, r)
				case Lost:
					isLost = true
				}
			}
			c.Check(isLost, qt.Equals, test.loses)
			if !test.writes {
				c.Check(swaps, qt.HasLen, 0)
				return
			}
			want := model.SlotRecord{Owner: self, Term: 1, Renewal: 2, Continuous: true, Restores: 1}
			c.Assert(swaps, qt.DeepEquals, []Swap{{testSlot, test.found.Version, want}})
			s.OnSwapped(at(test.at+5), 0, event.SlotSwapped{Slot: testSlot, Record: want, Version: restoredVersion + 2, Restores: 1})
			_, ok := s.Owns(at(test.at+10), testSlot)
			c.Check(ok, qt.IsTrue)
		})
	}
}

// TestAckOfEarlierProcess guards against an acknowledgement that was sent to an earlier
// process of this host and counts for an intent of the present one.
func TestAckOfEarlierProcess(t *testing.T) {
	c := qt.New(t)
	numbers := make(map[uint64]bool)
	for incarnation := range uint64(2) {
		s := New(model.HostRef{ID: self.ID, Incarnation: (incarnation + 1) << 16}, 0)
		s.SetSlots(0, []model.SlotID{testSlot})
		s.tick(0)
		s.OnRead(0, 0, fleetOf(0), event.SlotRead{Slot: testSlot, Restores: 1})
		intent := s.DrainResults()[0].(Send).Message.(message.ClaimIntent)
		c.Check(numbers[intent.Intent], qt.IsFalse)
		numbers[intent.Intent] = true
	}
}
