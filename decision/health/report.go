package health

import (
	"slices"
	"strings"
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Due returns when the next report is due, model.Never if none is. interval is
// the time between reports that tell only the host's rate.
func (m *Monitor) Due(interval time.Duration) model.Instant {
	switch {
	case !m.started:
		return model.Never
	case m.urgent && m.sequence == 0:
		return m.reported
	case m.urgent:
		return m.reported.Add(ReportInterval)
	case !m.counted:
		return model.Never
	case m.sequence == 0:
		return m.reported.Add(firstReport)
	}
	return m.reported.Add(interval)
}

// Report returns the counts since the last report, and starts new ones. The
// caller fills in the service, its slot and the host's domain.
func (m *Monitor) Report(now model.Instant) message.Evidence {
	m.sequence++
	e := message.Evidence{
		Sequence:   m.sequence,
		Servers:    m.takeSuspects(now),
		PoolOK:     m.ok,
		PoolFailed: m.failed,
		Period:     now.Sub(m.reported),
	}
	// One report of no attempts follows the last one, so that the coordinator
	// learns that the host's rate has fallen to zero.
	m.counted = m.ok+m.failed > 0
	m.ok, m.failed = 0, 0
	m.urgent = false
	m.reported = now
	return e
}

func (m *Monitor) takeSuspects(now model.Instant) []message.ServerEvidence {
	var servers []message.ServerEvidence
	for id, c := range m.suspects {
		if c.OK+c.Failed > 0 {
			c.AvoidFor = max(0, m.AvoidUntil(id).Sub(now))
			servers = append(servers, c.ServerEvidence)
		}
		c.ServerEvidence = message.ServerEvidence{Server: id}
		if now >= c.until {
			delete(m.suspects, id)
		}
	}
	slices.SortFunc(servers, func(a, b message.ServerEvidence) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return servers
}
