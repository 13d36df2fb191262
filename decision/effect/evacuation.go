package effect

import "pollensail.dev/decision/model"

// WithdrawUnsent ends an attempt of which no byte was written, because its server was
// taken out of use: it ends with NotRun and ReasonServerWithdrawn. It changes nothing
// for an attempt that was written.
type WithdrawUnsent struct {
	Request model.RequestID
	Attempt int
}

func (WithdrawUnsent) effect() {}

// EvacuationStatus is the newest set of evacuated failure domains that the host knows.
type EvacuationStatus struct {
	Revision uint64 // the store's, at which the set was read; 0: no set is known
	Domains  []EvacuatedDomain
}

// EvacuatedDomain is an evacuated failure domain. An unknown one has no effect.
type EvacuatedDomain struct {
	Domain  model.DomainID
	Since   model.WallTime // when this host applied it
	IsKnown bool           // the configuration, a listed host or a server has it
}
