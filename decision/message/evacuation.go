package message

import "pollensail.dev/decision/model"

// EvacuationNotice broadcasts the set of evacuated failure domains that Origin has
// read from the store.
type EvacuationNotice struct {
	Origin   model.HostRef
	Sequence uint64 // as in Sign
	// IsRelayed asks the receiver to forward the message to the other hosts of
	// its failure domain.
	IsRelayed  bool
	Evacuation model.Evacuation
}

func (EvacuationNotice) message() {}
