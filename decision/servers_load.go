package decision

import (
	"fmt"

	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// recordLoadReport records the load that a server reported with an answer.
func (s *State) recordLoadReport(service model.ServiceID, a *attempt, pool *placement.Pool, result model.AttemptResult) {
	if !s.estimatesLoad(service) {
		pool.RecordLoad(s.now, a.server, result.InFlight, result.ServerConcurrency)
		return
	}
	if result.ServerConcurrency == 0 && result.InFlight == 0 {
		return // no report
	}
	waiting := result.Waiting
	if !result.WaitingKnown {
		waiting = max(0, result.InFlight-result.ServerConcurrency)
	}
	problem := pool.RecordReport(s.now, a.server, placement.LoadReport{
		Running: result.InFlight - waiting,
		Waiting: waiting,
		Slots:   result.ServerConcurrency,
		Start:   a.serverStart,
	})
	if problem != "" {
		s.noteInvalidLoad(a.server, problem)
	}
}

// estimatesLoad reports whether servers of the service are selected by their
// expected load.
func (s *State) estimatesLoad(id model.ServiceID) bool {
	service, ok := s.snapshot.Services[id]
	return ok && service.EstimatesLoad
}

// noteInvalidLoad reports a server once for a load report that breaks a rule.
func (s *State) noteInvalidLoad(id model.ServerID, problem placement.ReportProblem) {
	noted := s.servers.invalidLoad
	if noted[id] || len(noted) >= maxBadHeaderServers {
		return
	}
	noted[id] = true
	s.emitNotice(effect.NoticeBadLoad, fmt.Sprintf("%s: load report ignored: %s", id, problem))
}

// addBalanceStatus adds the load of a service's servers to the status.
func (s *State) addBalanceStatus(status *effect.Status, id model.ServiceID) {
	pool := s.servers.pools[id]
	if pool == nil {
		return
	}
	if b, ok := pool.BalanceStatus(s.now); ok {
		status.Balance = append(status.Balance, effect.ServiceBalance{
			Service: id, MeanLoad: b.MeanLoad, MaxLoad: b.MaxLoad, Busiest: b.Busiest,
			MaxSlowness: b.MaxSlowness, Slowest: b.Slowest, ReportAge: b.ReportAge,
			Choices: b.Choices, OutsideChoices: b.OutsideChoices, InvalidReports: b.InvalidReports,
		})
	}
}
