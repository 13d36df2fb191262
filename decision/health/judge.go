package health

import (
	"math"
	"time"

	"pollensail.dev/decision/model"
)

// rule says when failures are plain: at least this many, at least this share
// of the work, and at least as surprising, as -ln of the chance that a server
// like the rest of the pool has as many by accident.
type rule struct {
	failures int
	ratio    float64
	surprise float64
}

var (
	// ejection is the rule for all failures that were seen. A chance of e^-13
	// is 2 in a million for each look; a pool of ten servers is looked at about
	// a hundred times a second while it fails.
	ejection = rule{failures: 5, ratio: ejectRatio, surprise: 13}
	// elsewhere is the rule for those that any single domain did not see.
	// Failures on the path from one domain do not pass it.
	elsewhere = rule{failures: 3, ratio: otherRatio, surprise: 6}
)

const (
	// ejectRatio is low because the count is small: a server that fails a third
	// of 20 requests a second shows less than a fifth over two seconds in one
	// run of fifteen.
	ejectRatio = 0.1
	otherRatio = 0.05
	// restFactor is how many times the share of failures of the rest of the
	// pool a server's share has to be.
	restFactor = 3
	// ordinaryRatio is the share of failures that is assumed of a healthy pool
	// at least, so that a pool without any is not held to zero.
	ordinaryRatio = 0.005
	// minBuckets is the shortest time that is judged. Reports add up over one
	// bucket.
	minBuckets = 2
	// reportDelay is the mean time from an attempt to its report.
	reportDelay = ReportInterval / 2
)

// verdict is a judgment of a server in use.
type verdict struct {
	isBad bool
	ratio float64
}

// judge looks at the last half second, and at ever longer times up to two
// seconds. A server is bad if any of them shows it, for any fault. The rest of
// the pool is judged over the same time too, because at the start of a fault
// that all servers share, a longer time shows only one of them failing.
func judge(now model.Instant, s *suspect, f flow) verdict {
	var worst verdict
	longest := f.rest(now, buckets, sum(s.counts(now, buckets)))
	for n := minBuckets; n <= buckets; n++ {
		e := evidence{
			counts:  s.counts(now, n),
			domains: f.domains,
		}
		e.work = f.share(e.counts, span(now, n)+reportDelay)
		rest := f.rest(now, n, sum(e.counts))
		for kind := range faults {
			v := e.judge(kind, max(rest[kind], longest[kind]))
			worst.isBad = worst.isBad || v.isBad
			worst.ratio = max(worst.ratio, v.ratio)
		}
	}
	return worst
}

// evidence is what there is about a server over some time, for each domain.
type evidence struct {
	counts  []tally
	work    []int // attempts, reported or estimated
	domains int   // of the fleet
}

// judge applies the rule of ejection for one fault. A bad verdict needs the
// failures to stay plain without any one domain.
func (e evidence) judge(kind fault, rest float64) verdict {
	bad := sum(e.counts).Bad[kind]
	work := total(e.work)
	if !isFailing(bad, work, rest, ejection) {
		return verdict{}
	}
	for i := range e.counts {
		others := bad - e.counts[i].Bad[kind]
		if e.domains > 1 && !isFailing(others, work-e.work[i], rest, elsewhere) {
			return verdict{}
		}
	}
	return verdict{isBad: true, ratio: ratio(bad, work)}
}

// isFailing applies a rule to a number of failures out of an amount of work.
func isFailing(bad, work int, rest float64, rule rule) bool {
	r := ratio(bad, work)
	if bad < rule.failures || r < rule.ratio || r < restFactor*rest {
		return false
	}
	expected := float64(work) * max(rest, ordinaryRatio)
	return chernoff(float64(bad), expected) >= rule.surprise
}

// chernoff returns -ln of the bound on the chance that a Poisson variable with
// the expected mean is n or more.
func chernoff(n, expected float64) float64 {
	if n <= expected {
		return 0
	}
	return n*math.Log(n/expected) - (n - expected)
}

func ratio(bad, work int) float64 {
	return min(float64(bad)/float64(max(work, 1)), 1)
}

// badRatio returns the share of attempts that went wrong in any way.
func (t tally) badRatio() float64 { return ratio(t.total()-t.OK, t.total()) }

func total(work []int) int {
	n := 0
	for _, w := range work {
		n += w
	}
	return n
}

// flow is the work that reaches each server of a pool.
type flow struct {
	rates   []float64 // attempts a second at one server, from each domain
	servers int       // that share the work
	domains int
	// seen sums up what was reported of all servers in use, in the newest n
	// buckets by n.
	seen [buckets + 1]tally
}

// flow estimates the work of each server from the hosts' rates. Reports name
// only servers that fail, so the attempts that they count are too few.
func (c *Coordinator) flow(now model.Instant, pool Pool) flow {
	rates := c.reporters.rates(now, len(c.domains))
	scale := 1.0
	if now < c.quietUntil.Add(learning) && len(c.reporters) > 0 {
		scale = max(float64(pool.Hosts)/float64(len(c.reporters)), 1)
	}
	servers := max(len(pool.Members)-pool.out(c.isEjected), 1)
	for i := range rates {
		rates[i] *= scale / float64(servers)
	}
	f := flow{rates: rates, servers: servers, domains: pool.Domains}
	for _, s := range c.suspects {
		for n := minBuckets; n <= buckets && s.phase == inUse; n++ {
			f.seen[n].add(sum(s.counts(now, n)))
		}
	}
	return f
}

// share returns the attempts at one server over a time, from each domain: at
// least those that were reported.
func (f flow) share(counts []tally, over time.Duration) []int {
	work := make([]int, len(f.rates))
	for i, rate := range f.rates {
		work[i] = int(math.Round(rate * over.Seconds()))
		if i < len(counts) {
			work[i] = max(work[i], counts[i].total())
		}
	}
	return work
}

// rest returns the share of each fault at the other servers in use, in the
// newest n buckets. own is what was reported of the server itself.
func (f flow) rest(now model.Instant, n int, own tally) [faults]float64 {
	seen := f.seen[n]
	over := span(now, n) + reportDelay
	expected := total(f.share(nil, over)) * (f.servers - 1)
	work := max(expected, seen.total()-own.total())
	var ratios [faults]float64
	for kind, bad := range seen.Bad {
		ratios[kind] = ratio(bad-own.Bad[kind], work)
	}
	return ratios
}
