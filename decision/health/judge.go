package health

import (
	"math"
	"time"

	"pollensail.dev/decision/model"
)

// failureRule says when failures are significant.
type failureRule struct {
	minFailures  int     // number of failures
	minRatio     float64 // share of the attempts
	minSurprisal float64 // -ln of the chance that a server like the rest of the pool has as many failures
}

var (
	// ejectionRule is for all failures that were reported. A chance of e^-13 is
	// 2 in a million for each check; a failing pool of ten servers is checked
	// about a hundred times a second.
	ejectionRule = failureRule{minFailures: 5, minRatio: minEjectRatio, minSurprisal: 13}
	// otherDomainsRule is for the failures that remain without those reported
	// from any single domain. Failures on the network path from one domain do
	// not meet it.
	otherDomainsRule = failureRule{minFailures: 3, minRatio: minOtherDomainsRatio, minSurprisal: 8}
)

const (
	// minEjectRatio is low because the counts are small: a server that fails a
	// third of 20 requests a second shows less than a fifth over two seconds in
	// one of fifteen cases.
	minEjectRatio        = 0.1
	minOtherDomainsRatio = 0.1
	// minRestMultiple is the multiple of the failure ratio of the rest of the
	// pool that a server's ratio has to reach.
	minRestMultiple = 3
	// baselineRatio is the least failure ratio that is assumed of the rest of
	// the pool, so that a few failures are not significant where the others
	// have none.
	baselineRatio = 0.005
	// minJudgedBuckets is the shortest period that is judged, in buckets. One
	// bucket is too short, because a report itself covers about that time.
	minJudgedBuckets = 2
	// meanReportDelay is the mean time from an attempt to its report.
	meanReportDelay = ReportInterval / 2
)

// judgment is the result of judging a server in use.
type judgment struct {
	isBad        bool
	failureRatio float64
}

// judge checks the last half second, and ever longer periods up to two seconds.
// A server is failing if any of them shows it for any kind of fault. The rest
// of the pool is measured over the same period and over the longest one, and
// the higher ratio counts. At the start of a fault that all servers share, the
// longest period alone would understate the ratio of the rest, and only one
// server would seem to fail.
func judge(now model.Instant, s *suspect, t traffic) judgment {
	var worst judgment
	longest := t.restRatios(now, bucketCount, sumTallies(s.counts(now, bucketCount)))
	for n := minJudgedBuckets; n <= bucketCount; n++ {
		o := observation{
			counts:  s.counts(now, n),
			domains: t.domains,
		}
		o.attempts = t.attemptsPerServer(o.counts, coveredTime(now, n)+meanReportDelay)
		rest := t.restRatios(now, n, sumTallies(o.counts))
		for kind := range faultKinds {
			j := o.judge(kind, max(rest[kind], longest[kind]))
			worst.isBad = worst.isBad || j.isBad
			worst.failureRatio = max(worst.failureRatio, j.failureRatio)
		}
	}
	return worst
}

// observation is what is known of a server over some period, by failure domain.
type observation struct {
	counts   []tally
	attempts []int // reported or estimated
	domains  int   // number of failure domains of the fleet
}

// judge applies ejectionRule for one kind of fault. The failures also have to
// be significant without those of any single domain.
func (o observation) judge(kind faultKind, rest float64) judgment {
	bad := sumTallies(o.counts).Bad[kind]
	attempts := sumAttempts(o.attempts)
	if !isFailing(bad, attempts, rest, ejectionRule) {
		return judgment{}
	}
	for i := range o.counts {
		others := bad - o.counts[i].Bad[kind]
		if o.domains > 1 && !isFailing(others, attempts-o.attempts[i], rest, otherDomainsRule) {
			return judgment{}
		}
	}
	return judgment{isBad: true, failureRatio: ratio(bad, attempts)}
}

// isFailing applies a rule to a number of failures out of a number of attempts.
func isFailing(bad, attempts int, rest float64, rule failureRule) bool {
	r := ratio(bad, attempts)
	if bad < rule.minFailures || r < rule.minRatio || r < minRestMultiple*rest {
		return false
	}
	expected := float64(attempts) * max(rest, baselineRatio)
	return chernoffSurprisal(float64(bad), expected) >= rule.minSurprisal
}

// chernoffSurprisal returns -ln of the Chernoff bound on the chance that a
// Poisson variable with the expected mean is n or more.
func chernoffSurprisal(n, expected float64) float64 {
	if n <= expected {
		return 0
	}
	return n*math.Log(n/expected) - (n - expected)
}

func ratio(bad, attempts int) float64 {
	return min(float64(bad)/float64(max(attempts, 1)), 1)
}

// badRatio returns the share of attempts that failed or were late.
func (t tally) badRatio() float64 { return ratio(t.total()-t.OK, t.total()) }

func sumAttempts(attempts []int) int {
	n := 0
	for _, w := range attempts {
		n += w
	}
	return n
}

// traffic is the estimated number of attempts at each server of a pool.
type traffic struct {
	ratesByDomain []float64 // attempts a second at one server, from each domain
	servers       int       // servers that share the attempts
	domains       int
	// reported[n] is the sum of what was reported of all servers in use in the
	// newest n buckets.
	reported [bucketCount + 1]tally
}

// estimateTraffic estimates the attempts at each server from the hosts' rates.
// Reports name only servers that fail, so the attempts counted in them are too
// few.
func (c *Coordinator) estimateTraffic(now model.Instant, pool PoolView) traffic {
	rates := c.reporters.rates(now, len(c.domainIndexes))
	scale := 1.0
	if now < c.quietUntil.Add(learningPeriod) && len(c.reporters) > 0 {
		scale = max(float64(pool.Hosts)/float64(len(c.reporters)), 1)
	}
	servers := max(len(pool.Members)-pool.countOut(c.isEjected), 1)
	for i := range rates {
		rates[i] *= scale / float64(servers)
	}
	t := traffic{ratesByDomain: rates, servers: servers, domains: pool.Domains}
	for _, s := range c.suspects {
		for n := minJudgedBuckets; n <= bucketCount && s.phase == inUse; n++ {
			t.reported[n].add(sumTallies(s.counts(now, n)))
		}
	}
	return t
}

// attemptsPerServer returns the estimated attempts at one server over a time,
// by domain: at least those that were reported.
func (t traffic) attemptsPerServer(counts []tally, over time.Duration) []int {
	attempts := make([]int, len(t.ratesByDomain))
	for i, rate := range t.ratesByDomain {
		attempts[i] = int(math.Round(rate * over.Seconds()))
		if i < len(counts) {
			attempts[i] = max(attempts[i], counts[i].total())
		}
	}
	return attempts
}

// restRatios returns the ratio of each kind of fault at the other servers in
// use, in the newest n buckets. own is what was reported of the server itself.
func (t traffic) restRatios(now model.Instant, n int, own tally) [faultKinds]float64 {
	reported := t.reported[n]
	over := coveredTime(now, n) + meanReportDelay
	expected := sumAttempts(t.attemptsPerServer(nil, over)) * (t.servers - 1)
	attempts := max(expected, reported.total()-own.total())
	var ratios [faultKinds]float64
	for kind, bad := range reported.Bad {
		ratios[kind] = ratio(bad-own.Bad[kind], attempts)
	}
	return ratios
}
