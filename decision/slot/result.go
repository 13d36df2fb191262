package slot

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Result is an effect that the caller has to carry out, or a change of
// ownership.
type Result interface{ result() }

// Read requests the slot's record from the store. The answer goes to
// State.OnRead.
type Read struct{ Slot model.SlotID }

// ProbeHost requests that a host is probed with a heartbeat, to learn which
// process runs there.
type ProbeHost struct{ Host model.HostID }

// Swap requests a compare-and-swap of a slot's record: it is written only if
// the stored version is still Version, 0 if there is no record. The result goes
// to State.OnSwapped.
type Swap struct {
	Slot    model.SlotID
	Version uint64
	Record  model.SlotRecord
}

// Send requests that a message is sent.
type Send struct {
	To      model.HostID
	Message message.Message
}

// Acquired reports that this host owns the slot from now on.
type Acquired struct {
	Slot model.SlotID
	Term uint64
	// Continuous is true where the state of all earlier terms is at hand.
	Continuous bool
	// Offer is the state that the previous owner handed over, and OfferedAt
	// when it arrived; nil after a claim.
	Offer     *message.HandoverOffer
	OfferedAt model.Instant
}

// Lost reports that this host does not own the slot any more.
type Lost struct {
	Slot       model.SlotID
	HandedOver bool
}

// Lapsed reports that the authority over an owned slot has run out, and that
// this host refuses until Renewed.
type Lapsed struct{ Slot model.SlotID }

// Renewed reports that a lapsed lease was renewed.
type Renewed struct{ Slot model.SlotID }

// RecordLost reports that the store has lost the record of an owned slot: it has none, or
// one from before it came back from an older copy. The owner writes it again, unless
// GivesWay.
type RecordLost struct {
	Slot      model.SlotID
	Term      uint64 // of the owner
	FoundTerm uint64 // of the record that was found; 0: there is none
	GivesWay  bool
}

func (Read) result()       {}
func (ProbeHost) result()  {}
func (Swap) result()       {}
func (Send) result()       {}
func (Acquired) result()   {}
func (Lost) result()       {}
func (Lapsed) result()     {}
func (Renewed) result()    {}
func (RecordLost) result() {}
