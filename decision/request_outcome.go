package decision

import (
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// recordOutcome passes the outcome of a request whose response was sent to logs and
// metrics.
func (s *State) recordOutcome(r *request, sent event.ResponseSent) {
	s.countRequestEnd(r)
	outcome := model.Outcome{
		Request:  r.Request,
		Name:     r.Name,
		Account:  r.account,
		Server:   r.server,
		Verdict:  r.verdict,
		Result:   r.result,
		Reason:   r.reason,
		Attempts: r.attempts,
		Latency:  s.now - r.arrivedAt,

		TokenCause:         r.tokenCause,
		ConfigAge:          model.Instant(s.confirmationAge()),
		SuccessProbability: r.successProbability,
		IsProbe:            r.isProbe,
		ServiceShort:       r.wasShort,
		Tried:              r.triedServers,
		Cancelled:          r.cancelled,
		Status:             sent.Status,
		Complete:           sent.Complete,
		CallerLeft:         r.callerLeft,
		Stopping:           s.stopping,
		Uptime:             s.now - s.startedAt,
	}
	if r.result != model.Delivered {
		outcome.NoRetry = r.noRetry
	}
	if s.snapshot != nil {
		outcome.Version = s.snapshot.Version
	}
	if r.route != nil {
		outcome.Route = r.route.ID
		outcome.Service = r.service
		outcome.Class = r.route.Class
	}
	s.countStopOutcome(outcome)
	s.emit(effect.RecordOutcome{Outcome: outcome})
}
