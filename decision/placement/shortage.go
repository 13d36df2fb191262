package placement

import (
	"time"

	"pollensail.dev/decision/model"
)

// While a service fails to serve a good part of its requests, leaving servers
// idle for past failures costs more than trying them: most gray failures end by
// themselves. The service is then short of servers, and the least suspected
// servers get probes until enough are in use (floorRank).
//
// One host of a large fleet sees too few requests for a service to notice this,
// so the hosts tell each other of unserved requests. They do not tell each
// other of their requests, which would be far more messages: the fleet's rate
// is estimated as this host's rate times the number of hosts. The error of that
// is the host's share of the traffic; a host that takes the service to be short
// too early has few requests, and so it sends few probes.
const (
	// unservedDecayTime is the time constant of the decay of the unserved
	// requests. It is short because a shortage matters within two seconds.
	unservedDecayTime = time.Second
	// requestDecayTime is that of this host's requests. It is long because a
	// host may see less than one request a second.
	requestDecayTime = 10 * time.Second
	// minRequestAge keeps the first requests of a host from counting as a high
	// rate.
	minRequestAge = time.Second
	// unservedRatio is the share of unserved requests from which the service is
	// short of servers. unservedMargin is how many unserved requests it takes
	// beyond that share, so that a few failures in a service with little traffic
	// do not count.
	unservedRatio  = 0.05
	unservedMargin = 2.0
	// minReportInterval is the shortest time between two reports of a host's
	// unserved requests to the other hosts. maxReportRate bounds the reports of
	// all hosts for a service, per second.
	minReportInterval = 500 * time.Millisecond
	maxReportRate     = 50
)

// decayingCount is a count with exponential decay.
type decayingCount struct {
	value     float64
	updatedAt model.Instant
}

func (c *decayingCount) at(now model.Instant, timeConstant time.Duration) float64 {
	return c.value * decayFactor(max(0, now.Sub(c.updatedAt)), timeConstant)
}

func (c *decayingCount) add(now model.Instant, n float64, timeConstant time.Duration) {
	c.value = c.at(now, timeConstant) + n
	c.updatedAt = now
}

// shortage estimates the share of the fleet's requests for a service that are
// not served.
type shortage struct {
	hosts          int
	requests       decayingCount // of this host
	firstRequestAt model.Instant
	hasRequests    bool
	unserved       decayingCount // of all hosts
	// unreported are the unserved requests of this host that other hosts have not
	// been told of.
	unreported int
	reportedAt model.Instant
}

func (s *shortage) addRequest(now model.Instant) {
	if !s.hasRequests {
		s.hasRequests, s.firstRequestAt = true, now
	}
	s.requests.add(now, 1, requestDecayTime)
}

func (s *shortage) addUnserved(now model.Instant, n int) {
	s.unserved.add(now, float64(n), unservedDecayTime)
}

// counts returns the fleet's requests in the time constant of the unserved ones,
// as estimated by this host, and how many of them were unserved.
func (s *shortage) counts(now model.Instant) (requests, unserved float64) {
	if !s.hasRequests {
		return 0, 0
	}
	age := max(now.Sub(s.firstRequestAt), minRequestAge)
	observed := requestDecayTime.Seconds() * (1 - decayFactor(age, requestDecayTime))
	rate := s.requests.at(now, requestDecayTime) / observed
	requests = rate * float64(max(s.hosts, 1)) * unservedDecayTime.Seconds()
	return requests, s.unserved.at(now, unservedDecayTime)
}

// isShort reports whether the service is short of servers.
func (s *shortage) isShort(now model.Instant) bool {
	requests, unserved := s.counts(now)
	return unserved >= unservedRatio*requests+unservedMargin
}

// IsShort reports whether this host holds the service to be short of servers.
func (p *Pool) IsShort(now model.Instant) bool { return p.shortage.isShort(now) }

// CountRequestEnd counts a request for the service that has ended, also one that
// was refused before it reached a server. isUnserved says that it was not
// served, and that no call of Observe counted that.
func (p *Pool) CountRequestEnd(now model.Instant, isUnserved bool) {
	p.shortage.addRequest(now)
	if isUnserved {
		p.shortage.addUnserved(now, 1)
		p.shortage.unreported++
	}
}

// ObserveRemoteUnserved counts unserved requests that another host reported.
func (p *Pool) ObserveRemoteUnserved(now model.Instant, n int) { p.shortage.addUnserved(now, n) }

// UnservedReportDue returns when this host's unserved requests are to be
// reported to the other hosts, model.Never if there are none.
func (p *Pool) UnservedReportDue() model.Instant {
	if p.shortage.unreported == 0 {
		return model.Never
	}
	interval := max(minReportInterval, time.Duration(p.shortage.hosts)*time.Second/maxReportRate)
	return p.shortage.reportedAt.Add(interval)
}

// TakeUnservedReport returns the number of unserved requests to report now and
// counts them as reported.
func (p *Pool) TakeUnservedReport(now model.Instant) int {
	n := p.shortage.unreported
	p.shortage.unreported, p.shortage.reportedAt = 0, now
	return n
}
