package health

import (
	"slices"
	"strings"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// NextReportDue returns when the next report is due, model.Never if none is.
// interval is the time between reports that carry only the host's rate.
func (m *Monitor) NextReportDue(interval time.Duration) model.Instant {
	switch {
	case !m.hasStarted:
		return model.Never
	case m.isReportUrgent && m.sequence == 0:
		return m.lastReport
	case m.isReportUrgent:
		return m.lastReport.Add(ReportInterval)
	case !m.hasAttempts:
		return model.Never
	case m.sequence == 0:
		return m.lastReport.Add(firstReportDelay)
	}
	return m.lastReport.Add(interval)
}

// Report returns the counts since the last report and resets them. The caller
// fills in the service, its slot and the host's domain.
func (m *Monitor) Report(now model.Instant) message.Evidence {
	m.sequence++
	e := message.Evidence{
		Sequence:   m.sequence,
		Servers:    m.collectServers(now),
		PoolOK:     m.ok,
		PoolFailed: m.failed,
		Period:     now.Sub(m.lastReport),
	}
	// One report without attempts follows the last one, so that the coordinator
	// learns that the host's rate has dropped to zero.
	m.hasAttempts = m.ok+m.failed > 0
	m.ok, m.failed = 0, 0
	m.isReportUrgent = false
	m.lastReport = now
	return e
}

// collectServers returns the counts of the reported servers and resets them. It
// drops the servers that reports need no longer name.
func (m *Monitor) collectServers(now model.Instant) []message.ServerEvidence {
	var servers []message.ServerEvidence
	for id, c := range m.reportedServers {
		if c.OK+c.Failed > 0 {
			c.AvoidFor = max(0, m.AvoidUntil(id).Sub(now))
			servers = append(servers, c.ServerEvidence)
		}
		c.ServerEvidence = message.ServerEvidence{Server: id}
		if now >= c.reportUntil {
			delete(m.reportedServers, id)
		}
	}
	slices.SortFunc(servers, func(a, b message.ServerEvidence) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return servers
}
