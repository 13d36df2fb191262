package slot

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Result is something that the caller has to carry out or to know.
type Result interface{ result() }

// Read asks for the slot's record.
type Read struct{ Slot model.SlotID }

// AskHost asks for a sign of life of a host that was started again, or not.
type AskHost struct{ Host model.HostID }

// Swap asks to write a slot's record if its version is still Version.
type Swap struct {
	Slot    model.SlotID
	Version uint64
	Record  model.SlotRecord
}

// Send asks to send a message.
type Send struct {
	To      model.HostID
	Message message.Message
}

// Acquired says that this host owns the slot from now on.
type Acquired struct {
	Slot model.SlotID
	Term uint64
	// Continuous is true where nothing of earlier terms is missing.
	Continuous bool
	// Offer is what the owner before handed over, with the instant at which it
	// arrived; nil after a claim.
	Offer     *message.HandoverOffer
	OfferedAt model.Instant
}

// Lost says that this host does not own the slot any more.
type Lost struct {
	Slot       model.SlotID
	HandedOver bool
}

func (Read) result()     {}
func (AskHost) result()  {}
func (Swap) result()     {}
func (Send) result()     {}
func (Acquired) result() {}
func (Lost) result()     {}
