package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pollensail.dev/decision/model"
)

// LoadReport is a server's report of its load.
type LoadReport struct {
	Running int // requests that the server processes
	Waiting int // requests that wait there for a slot
	Slots   int
	// Age is the time since the server sent the report, as far as the host knows.
	Age time.Duration
	// Start is the start of the server's process, 0 if it is unknown.
	Start model.WallTime
	// Slowness is the response time of the answer with the report in relation to
	// the mean of its class, without the time that it waited at the server; 0 if
	// it is unknown.
	Slowness float64
}

// ServerReport is a report that is passed on to other hosts.
type ServerReport struct {
	Server model.ServerID
	LoadReport
}

// ReportProblem is the rule that a load report breaks, empty for none.
type ReportProblem string

// The problems of load reports.
const (
	ReportNegative     ReportProblem = "a negative number"
	ReportHuge         ReportProblem = "a number above 1000000"
	ReportNoSlots      ReportProblem = "no slots"
	ReportOverSlots    ReportProblem = "more requests running than slots"
	ReportFromFuture   ReportProblem = "from the future"
	ReportOtherProcess ReportProblem = "of another process of the server"
	ReportBadSlowness  ReportProblem = "an invalid slowness"
)

const (
	maxReportNumber = 1_000_000
	// maxReportAge: an older report says nothing about the present load.
	maxReportAge = 5 * time.Second
	// fleetReportRate is how many reports of a service's servers all hosts together
	// pass on a second. With 40 bytes each, a host receives 8 KB a second.
	fleetReportRate = 200.0
	// maxReportAllowance is how many reports a host may save up, and so pass on at once.
	maxReportAllowance = 8.0
)

// problem returns the rule that a report breaks.
func (r LoadReport) problem(s *server) ReportProblem {
	switch {
	case r.Running < 0 || r.Waiting < 0 || r.Slots < 0:
		return ReportNegative
	case max(r.Running, r.Waiting, r.Slots) > maxReportNumber:
		return ReportHuge
	case r.Slots == 0:
		return ReportNoSlots
	case r.Running > r.Slots:
		return ReportOverSlots
	case r.Age < 0:
		return ReportFromFuture
	case r.Start != 0 && s.Start != 0 && r.Start != s.Start:
		return ReportOtherProcess
	case r.Slowness != 0 && !(r.Slowness > 0 && r.Slowness < maxReportNumber):
		return ReportBadSlowness
	default:
		return ""
	}
}

// RecordReport records the report that came with the answer to a request of this
// host. It ignores and counts a report that breaks a rule, and returns the rule.
func (p *Pool) RecordReport(now model.Instant, id model.ServerID, r LoadReport) ReportProblem {
	s, ok := p.byID[id]
	if !ok {
		return ""
	}
	if problem := r.problem(s); problem != "" {
		p.invalidReports++
		return problem
	}
	p.RecordLoad(now, id, r.Running+r.Waiting, r.Slots)
	// The answered request still counts as in flight here, but not at the server.
	p.applyReport(now, s, r, s.inFlight-1)
	p.serviceLoad.add(float64(r.Running+r.Waiting) / float64(r.Slots))
	return ""
}

// RecordRemoteLoad records a report that another host passed on. It uses the
// slowness only: all hosts get the report at about the same time, and if they chose
// servers by its load, all would turn to the same ones at once (docs/design/even-load.md).
// It ignores a report that breaks a rule, as RecordReport does, and an old one.
func (p *Pool) RecordRemoteLoad(now model.Instant, id model.ServerID, r LoadReport) ReportProblem {
	s, ok := p.byID[id]
	if !ok || !p.limits.EstimatesLoad {
		return ""
	}
	if problem := r.problem(s); problem != "" {
		p.invalidReports++
		return problem
	}
	if r.Age > maxReportAge {
		return ""
	}
	if r.Slowness > 0 {
		s.estimate.addAnswer(r.Slowness)
	}
	return ""
}

// applyReport updates the estimate with a report sent at the given time, when own
// requests of this host were at the server beside those of other hosts.
func (p *Pool) applyReport(at model.Instant, s *server, r LoadReport, own int) {
	e := &s.estimate
	total := float64(r.Running + r.Waiting)
	expected := p.expectedOthers(at, s, float64(r.Slots)) + float64(own)
	e.deviation = math.Abs(total-expected) / float64(r.Slots)
	e.others = max(0, total-float64(max(own, 0)))
	e.at, e.isKnown, e.slots = at, true, r.Slots
	e.pending, e.isPending = r, true
}

// RecordServerTime records the response time of an answer of a server. The time that the
// request waited there is left out if a report came with this answer, at the same instant.
func (p *Pool) RecordServerTime(now model.Instant, id model.ServerID, class model.Class, d time.Duration) {
	s, ok := p.byID[id]
	mean := p.answerTimes[class].Mean()
	if !ok || mean <= 0 || d <= 0 {
		return
	}
	e := &s.estimate
	ratio := float64(d) / float64(mean)
	if e.isPending && e.at == now {
		ratio /= 1 + float64(e.pending.Waiting)/float64(e.pending.Slots)
		e.pending.Slowness = min(max(ratio, minSlowness), maxSlowness)
	}
	e.addAnswer(ratio)
}

// TakeLoadReports returns the reports that are worth passing on to other hosts now,
// those first that differ most from the expected load, such as of servers that are
// nearly full or were until now: these tell most of the server's speed. Their number is
// bounded for all hosts together. The reports count as passed on.
func (p *Pool) TakeLoadReports(now model.Instant) []ServerReport {
	p.reportAllowance = min(maxReportAllowance,
		p.reportAllowance+now.Sub(p.reportsTakenAt).Seconds()*fleetReportRate/float64(max(p.limits.Hosts, 1)))
	p.reportsTakenAt = now
	if !p.limits.EstimatesLoad || p.reportAllowance < 1 {
		return nil
	}
	var candidates []*server
	for _, s := range p.subset {
		if s.estimate.isPending && now.Sub(s.estimate.at) <= maxReportAge {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.estimate.deviation, a.estimate.deviation), cmp.Compare(b.estimate.at, a.estimate.at))
	})
	n := min(len(candidates), int(p.reportAllowance))
	var reports []ServerReport
	for _, s := range candidates[:n] {
		s.estimate.isPending = false
		r := s.estimate.pending
		r.Age = now.Sub(s.estimate.at)
		reports = append(reports, ServerReport{s.ID, r})
	}
	p.reportAllowance -= float64(n)
	return reports
}
