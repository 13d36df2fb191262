package health

import (
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// ReportInterval is the shortest time between two reports of a service.
	ReportInterval = 250 * time.Millisecond
	// suspicion is how long reports name a server after its last failure.
	suspicion = 2 * time.Second
	// firstReport is when a host first tells its rate.
	firstReport = time.Second
)

// Monitor counts what happens to a host's requests at one service's servers.
// Make it with NewMonitor.
type Monitor struct {
	latencies latencies
	suspects  map[model.ServerID]*counter
	paths     map[model.ServerID]*path
	ok        int // attempts at all servers since the last report
	failed    int
	counted   bool // there was an attempt in this or the last report's time
	urgent    bool // a suspect was tried since the last report
	started   bool
	reported  model.Instant // last report, or the first attempt
	sequence  uint64
}

// counter counts attempts at one server since the last report.
type counter struct {
	message.ServerEvidence
	until model.Instant
}

// NewMonitor returns a monitor that has seen nothing.
func NewMonitor() *Monitor {
	return &Monitor{
		latencies: newLatencies(),
		suspects:  make(map[model.ServerID]*counter),
		paths:     make(map[model.ServerID]*path),
	}
}

// Attempt is one ended attempt.
type Attempt struct {
	Server  model.ServerID
	Class   model.Class
	Result  model.AttemptResult
	InTrial bool // the server is in trial
	Loaded  bool // most servers of the pool are fully loaded
}

// Observe counts an attempt and returns what it says about the server.
func (m *Monitor) Observe(now model.Instant, a Attempt) Finding {
	finding := m.latencies.find(a.Class, a.Result)
	if finding != Failed && finding != Nothing {
		m.latencies.add(a.Class, time.Duration(a.Result.Latency))
	}
	if a.Loaded && (finding == Slow || finding == TimedOut) {
		finding = Nothing
	}
	if finding == Nothing {
		return finding
	}
	m.count(now, finding)
	m.suspect(now, a, finding)
	m.observePath(now, a.Server, finding)
	return finding
}

func (m *Monitor) count(now model.Instant, finding Finding) {
	if !m.started {
		m.started = true
		m.reported = now
	}
	m.counted = true
	if finding == OK {
		m.ok++
	} else {
		m.failed++
	}
}

// suspect counts the attempt for its server if reports are to name it.
func (m *Monitor) suspect(now model.Instant, a Attempt, finding Finding) {
	c, ok := m.suspects[a.Server]
	isNamed := finding != OK || a.InTrial
	if !ok && !isNamed {
		return
	}
	if !ok {
		c = &counter{ServerEvidence: message.ServerEvidence{Server: a.Server}}
		m.suspects[a.Server] = c
	}
	if isNamed {
		c.until = now.Add(suspicion)
	}
	m.urgent = true
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
