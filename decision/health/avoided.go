package health

import (
	"time"

	"pollensail.dev/decision/model"
)

// A host that finds a server failing prefers others. A server that fails all of
// its requests therefore soon gets hardly any, and shows fewer failures than
// one that fails a part. That most hosts avoid it takes the place of the
// missing failures as evidence.
const (
	// minAvoidingHostsShare is the share of the reporting hosts above which
	// avoidance counts.
	minAvoidingHostsShare = 0.5
	// minAvoidingHosts is the least number of hosts that have to avoid the
	// server.
	minAvoidingHosts = 2
	// maxAvoidedShare is the share of the servers in use up to which avoidance
	// counts against a single server. Where more servers are avoided, they have
	// a common cause.
	maxAvoidedShare = 1.0 / 3
)

// avoidingHosts are the hosts that avoid one server.
type avoidingHosts map[model.HostID]avoidingHost

type avoidingHost struct {
	domain int
	until  model.Instant
}

// recordAvoidance records that a host avoids the server. A report without a
// time does not end an avoidance that was reported before: the host is expected
// to keep to the time that it set.
func (s *suspect) recordAvoidance(now model.Instant, host model.HostID, domain int, avoidFor time.Duration) {
	if avoidFor <= 0 || s.phase != inUse {
		return
	}
	if s.avoidingHosts == nil {
		s.avoidingHosts = make(avoidingHosts)
	}
	s.avoidingHosts[host] = avoidingHost{domain: domain, until: now.Add(avoidFor)}
}

// count returns how many hosts avoid the server now, and in how many failure
// domains they are. It removes the hosts whose time has passed.
func (a avoidingHosts) count(now model.Instant) (hosts, domains int) {
	seen := make(map[int]bool)
	for host, avoider := range a {
		if now >= avoider.until {
			delete(a, host)
			continue
		}
		hosts++
		seen[avoider.domain] = true
	}
	return hosts, len(seen)
}

// judgeByAvoidance judges a server by the hosts that avoid it. Hosts of a
// single domain do not suffice, because they may share a faulty network path.
func (c *Coordinator) judgeByAvoidance(now model.Instant, s *suspect, t traffic) judgment {
	if !c.isAvoided(now, s, t) || float64(c.countAvoided(now, t)) > maxAvoidedShare*float64(t.servers) {
		return judgment{}
	}
	return judgment{isBad: true, failureRatio: sumTallies(s.counts(now, bucketCount)).badRatio()}
}

func (c *Coordinator) isAvoided(now model.Instant, s *suspect, t traffic) bool {
	hosts, domains := s.avoidingHosts.count(now)
	isSpread := t.domains <= 1 || domains > 1
	return isSpread && hosts >= minAvoidingHosts && float64(hosts) > minAvoidingHostsShare*float64(len(c.reporters))
}

// countAvoided returns how many servers in use are avoided.
func (c *Coordinator) countAvoided(now model.Instant, t traffic) int {
	n := 0
	for _, s := range c.suspects {
		if s.phase == inUse && c.isAvoided(now, s, t) {
			n++
		}
	}
	return n
}
