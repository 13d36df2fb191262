package health

import (
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// ReportInterval is the shortest time between two reports for a service.
	ReportInterval = 250 * time.Millisecond
	// reportRetention is how long reports name a server after its last failure
	// or attempt in trial.
	reportRetention = 2 * time.Second
	// firstReportDelay is the time from the first attempt to the first report
	// of a host whose attempts succeed.
	firstReportDelay = time.Second
)

// Monitor counts the outcomes of a host's requests at one service's servers.
// Make it with NewMonitor.
type Monitor struct {
	latencies       latencies
	reportedServers map[model.ServerID]*serverCounter // servers that reports name
	paths           map[model.ServerID]*pathHistory
	ok              int // successful attempts at all servers since the last report
	failed          int
	hasAttempts     bool // there was an attempt in this or the previous report's period
	isReportUrgent  bool // there was an attempt at a reported server since the last report
	hasStarted      bool
	lastReport      model.Instant // time of the last report; before any report, of the first attempt
	sequence        uint64
}

// serverCounter counts attempts at one server since the last report.
type serverCounter struct {
	message.ServerEvidence
	reportUntil model.Instant
}

// NewMonitor returns a monitor without any counts.
func NewMonitor() *Monitor {
	return &Monitor{
		latencies:       newLatencies(),
		reportedServers: make(map[model.ServerID]*serverCounter),
		paths:           make(map[model.ServerID]*pathHistory),
	}
}

// Attempt is a completed attempt.
type Attempt struct {
	Server  model.ServerID
	Class   model.Class
	Result  model.AttemptResult
	InTrial bool // the server is in trial
	Loaded  bool // most servers of the pool are fully loaded
}

// Observe counts an attempt and returns its finding.
func (m *Monitor) Observe(now model.Instant, a Attempt) Finding {
	finding := m.latencies.classify(a.Class, a.Result)
	if finding != Failed && finding != NoFinding {
		m.latencies.add(a.Class, time.Duration(a.Result.Latency))
	}
	if a.Loaded && (finding == Slow || finding == TimedOut) {
		finding = NoFinding
	}
	if finding == NoFinding {
		return finding
	}
	m.countAttempt(now, finding)
	m.countForServer(now, a, finding)
	m.observePath(now, a.Server, finding)
	return finding
}

func (m *Monitor) countAttempt(now model.Instant, finding Finding) {
	if !m.hasStarted {
		m.hasStarted = true
		m.lastReport = now
	}
	m.hasAttempts = true
	if finding == OK {
		m.ok++
	} else {
		m.failed++
	}
}

// countForServer counts the attempt for its server if reports name that server.
func (m *Monitor) countForServer(now model.Instant, a Attempt, finding Finding) {
	c, ok := m.reportedServers[a.Server]
	isNamed := finding != OK || a.InTrial
	if !ok && !isNamed {
		return
	}
	if !ok {
		c = &serverCounter{ServerEvidence: message.ServerEvidence{Server: a.Server}}
		m.reportedServers[a.Server] = c
	}
	if isNamed {
		c.reportUntil = now.Add(reportRetention)
	}
	m.isReportUrgent = true
	switch finding {
	case Failed:
		c.Failed++
	case TimedOut:
		c.Failed++
		c.TimedOut++
	case Slow:
		c.OK++
		c.Slow++
	default:
		c.OK++
	}
}
