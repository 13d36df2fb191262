package health

import (
	"time"

	"pollensail.dev/decision/model"
)

// A host that finds a server failing prefers others, so that a server which
// fails all of its work soon gets hardly any and shows fewer failures than one
// that fails a part. That most hosts avoid it is evidence in place of these.

const (
	// avoidedShare is the part of the reporting hosts that has to avoid a server.
	avoidedShare = 0.5
	// avoidedHosts is how many of them there have to be at least.
	avoidedHosts = 2
	// avoidedServers is the part of the pool up to which this says something
	// about a server. Where more are avoided, they share the cause.
	avoidedServers = 1.0 / 3
)

// avoiders are the hosts that avoid a server.
type avoiders map[model.HostID]avoider

type avoider struct {
	domain int
	until  model.Instant
}

// takeAvoidance notes that a host avoids the server. A report that names no time
// leaves an earlier one in force, because a host keeps to the time that it set.
func (s *suspect) takeAvoidance(now model.Instant, host model.HostID, domain int, avoidFor time.Duration) {
	if avoidFor <= 0 || s.phase != inUse {
		return
	}
	if s.avoiders == nil {
		s.avoiders = make(avoiders)
	}
	s.avoiders[host] = avoider{domain: domain, until: now.Add(avoidFor)}
}

// count returns how many hosts avoid the server now, and in how many failure
// domains they are. It forgets those that no longer do.
func (a avoiders) count(now model.Instant) (hosts, domains int) {
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

// judgeAvoided judges a server by the hosts that avoid it. Hosts of a single
// domain may share a faulty path.
func (c *Coordinator) judgeAvoided(now model.Instant, s *suspect, f flow) verdict {
	if !c.isAvoided(now, s, f) || float64(c.countAvoided(now, f)) > avoidedServers*float64(f.servers) {
		return verdict{}
	}
	return verdict{isBad: true, ratio: sum(s.counts(now, buckets)).badRatio()}
}

func (c *Coordinator) isAvoided(now model.Instant, s *suspect, f flow) bool {
	hosts, domains := s.avoiders.count(now)
	isSpread := f.domains <= 1 || domains > 1
	return isSpread && hosts >= avoidedHosts && float64(hosts) > avoidedShare*float64(len(c.reporters))
}

// countAvoided returns how many servers in use are avoided.
func (c *Coordinator) countAvoided(now model.Instant, f flow) int {
	n := 0
	for _, s := range c.suspects {
		if s.phase == inUse && c.isAvoided(now, s, f) {
			n++
		}
	}
	return n
}
