package decision

import (
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// limitState is membership, slot ownership and admission.
type limitState struct{}

// admission is what a request holds of its account's tokens.
type admission struct{}

func newLimitState() limitState { return limitState{} }

func (s *State) startLimits()                                   {}
func (s *State) limitsHostsListed(entries []model.HostEntry)    {}
func (s *State) onLimitsTimer(id uint64)                        {}
func (s *State) onSlotRead(e event.SlotRead)                    {}
func (s *State) onSlotSwapped(e event.SlotSwapped)              {}
func (s *State) onSlotMessage(model.HostRef, message.Message)   {}
func (s *State) onHeartbeat(model.HostRef, message.Heartbeat)   {}
func (s *State) onTokenAsk(model.HostRef, message.TokenAsk)     {}
func (s *State) onTokenGrant(model.HostRef, message.TokenGrant) {}

// isIsolated reports whether the host can tell neither that it is up to date
// nor that the store is down for all.
func (s *State) isIsolated() bool { return false }

// admit takes a token of the request's account.
func (s *State) admit(r *request) step { return stepNext }

// endAdmission gives back what a refused request waits for or holds unused.
func (s *State) endAdmission(r *request) {}

// limitsStatus adds authority and owned slots to the status.
func (s *State) limitsStatus(status *effect.Status) {}
